import { readFile } from 'node:fs/promises';
import type { Tls } from '../core/settings/settings.js';

/** Certificate, private key and certificate authority as PEM texts. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/**
 * Reads the PEM files that the settings name.
 *
 * @param tls - paths from the settings, or null if TLS is not used
 * @returns the texts, or null if TLS is not used
 */
export async function readTls(tls: Tls | null): Promise<TlsMaterial | null> {
  if (tls === null) return null;
  const [cert, key, ca] = await Promise.all([
    readFile(tls.certificateFile, 'utf8'),
    readFile(tls.keyFile, 'utf8'),
    readFile(tls.authorityFile, 'utf8'),
  ]);
  return { cert, key, ca };
}
