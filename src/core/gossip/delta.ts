import { err, ok, type Result } from 'neverthrow';
import type { CodeName } from '../errors/registry.js';
import { documentDigest } from '../model/document-digest.js';
import type { Delta, Document } from '../model/document.js';

/**
 * Computes the difference between two versions of a document.
 *
 * @param older - the version of the receiver
 * @param newer - the version to send
 * @returns the delta from the older version to the newer one
 */
export function diffDocuments(older: Document, newer: Document): Delta {
  const changed = [...newer.entries].filter(([key, value]) => older.entries.get(key) !== value);
  return {
    topic: newer.topic,
    fromDigest: older.digest,
    version: newer.version,
    digest: newer.digest,
    changed: new Map(changed),
    removed: [...older.entries.keys()].filter((key) => !newer.entries.has(key)),
  };
}

/**
 * Applies a delta and verifies the digest of the result, so that a faulty delta never produces a
 * mixture of two versions.
 *
 * @param older - the version to which the delta applies
 * @param delta - the delta
 * @returns the newer version; `documentOlder` when the delta does not lead to a higher version,
 * `peerFrameInvalid` when it starts from another document or its digest does not match
 */
export function applyDelta(older: Document, delta: Delta): Result<Document, CodeName> {
  if (delta.topic !== older.topic || delta.fromDigest !== older.digest) {
    return err('peerFrameInvalid');
  }
  if (delta.version <= older.version) return err('documentOlder');
  const removed = new Set(delta.removed);
  const kept = [...older.entries].filter(([key]) => !removed.has(key));
  const entries = new Map([...kept, ...delta.changed]);
  return documentDigest(entries) === delta.digest
    ? ok({ topic: older.topic, version: delta.version, digest: delta.digest, entries })
    : err('peerFrameInvalid');
}
