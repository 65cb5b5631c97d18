import type { Address } from './settings.js';

const ADDRESS_PATTERN = /^(?<host>\d+\.\d+\.\d+\.\d+|\[[\da-fA-F:.]+\]):(?<port>\d{1,5})$/;
const MAX_PORT = 65_535;
const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 };

// The URL parser accepts every form of IPv6. It rewrites short IPv4 forms such as 10.1, so an IPv4
// host that it changes is refused.
function isIpAddress(host: string): boolean {
  const text = `http://${host}/`;
  return (
    /^(\d+\.\d+\.\d+\.\d+|\[.*\])$/.test(host) &&
    URL.canParse(text) &&
    (host.startsWith('[') || new URL(text).hostname === host)
  );
}

/**
 * Parses an IP address and a port.
 *
 * @param text - `10.0.0.7:8080` or `[::1]:8080`
 * @returns the address, without the brackets of IPv6, or null when the text is no such address
 */
export function parseAddress(text: string): Address | null {
  const { host = '', port = '' } = ADDRESS_PATTERN.exec(text)?.groups ?? {};
  return port !== '' && Number(port) <= MAX_PORT && isIpAddress(host)
    ? { host: host.replace(/^\[|\]$/g, ''), port: Number(port) }
    : null;
}

/**
 * Parses the address from a base URL.
 *
 * @param text - http or https URL with an IP address and an optional port, without a path
 * @returns the address with the port, 80 or 443 by default, or null when the text is no such URL
 */
export function parseUrlAddress(text: string): Address | null {
  if (!URL.canParse(text)) {
    return null;
  }
  const { protocol, host, hostname, port, origin } = new URL(text);
  const defaultPort = DEFAULT_PORTS[protocol];
  const isBaseUrl = text === origin || text === `${origin}/`;
  return defaultPort === undefined || !isBaseUrl || !isIpAddress(hostname)
    ? null
    : parseAddress(port === '' ? `${host}:${defaultPort}` : host);
}
