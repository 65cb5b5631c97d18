import { err, ok, Result } from 'neverthrow';
import { array, Codec, exactly, number, oneOf, string } from 'purify-ts/Codec';
import type { Document, Topic } from '../core/model/document.js';
import { documentDigest } from '../core/model/document-digest.js';
import type { Host } from '../core/model/host.js';

const hostCodec = Codec.interface({
  backendServer: string,
  service: string,
  zone: string,
  peerAddress: string,
  state: oneOf([exactly('live'), exactly('leaving')]),
});

const hostListCodec = Codec.interface({ version: number, hosts: array(hostCodec) });

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (error) => String(error),
);

/**
 * Parses the host list that the platform publishes for one zone.
 *
 * @param topic - topic of the zone
 * @param text - JSON text of the published value
 * @returns the list as a document with one entry per host, or the parse error
 */
export function readHostList(topic: Topic, text: string): Result<Document, string> {
  return parseJson(text).andThen((value) =>
    hostListCodec.decode(value).caseOf<Result<Document, string>>({
      Left: (reason) => err(reason),
      Right: ({ version, hosts }) => {
        const entries = new Map(hosts.map((host) => [host.backendServer, JSON.stringify(host)]));
        return ok({ topic, version, digest: documentDigest(entries), entries });
      },
    }),
  );
}

/**
 * Lists the hosts of a document.
 *
 * @param document - a host list that was read by `readHostList` or came from a peer
 * @returns its hosts; invalid entries are skipped, since the list is only a hint
 */
export function hostsOf(document: Document): readonly Host[] {
  return [...document.entries.values()].flatMap((text) =>
    parseJson(text)
      .map((value) => hostCodec.decode(value).toMaybe().toList())
      .unwrapOr([]),
  );
}
