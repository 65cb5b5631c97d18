import type { Directory } from '../directory/directory.js';
import type { Instance } from '../directory/instance.js';
import type { Policy } from '../policy/policy.js';
import type { CodeName, Details } from '../errors/registry.js';
import type { Mirror } from './mirror.js';
import type { PublishedValue, Publication } from './publication.js';

/** Called with what of a published value cannot be decoded. */
export type UnreadableReporter = (code: CodeName, details: Details) => void;

/** Decodes one published value; returns null when it is unreadable or not used by the node. */
export type ValueDecoder = (
  publication: Publication,
  report: UnreadableReporter,
) => PublishedValue | null;

/**
 * Decodes each publication once, so that a change costs its own decoding only, and an unreadable
 * value is reported once.
 *
 * @param decode - decodes one value
 * @param report - called for what cannot be decoded
 * @returns a function that decodes a value, or returns the earlier result for the same publication
 */
export function decodeOnce(
  decode: ValueDecoder,
  report: UnreadableReporter,
): (publication: Publication) => PublishedValue | null {
  const results = new WeakMap<Publication, PublishedValue | null>();
  return (publication) => {
    const known = results.get(publication);
    if (known !== undefined) return known;
    const decoded = decode(publication, report);
    results.set(publication, decoded);
    return decoded;
  };
}

/** Policy and directory decoded from all published values. */
export interface Interpretation {
  readonly policy: Policy | null;
  readonly directory: Directory;
}

/**
 * Decodes all published values of a mirror.
 *
 * @param mirror - the copy of the published values
 * @param decode - decodes one value
 * @param inForce - policy in force; only a newer version replaces it
 * @returns the policy and the directory
 */
export function interpret(
  mirror: Mirror,
  decode: (publication: Publication) => PublishedValue | null,
  inForce: Policy | null,
): Interpretation {
  let policy = inForce;
  const instances: Instance[] = [];
  const zonesOut = new Set<string>();
  mirror.publications.forEach((publication) => {
    const decoded = publication.text === null ? null : decode(publication);
    if (decoded === null) return;
    switch (decoded.kind) {
      case 'policy':
        if (policy === null || decoded.policy.version > policy.version) policy = decoded.policy;
        break;
      case 'instance':
        instances.push(decoded.instance);
        break;
      case 'zone-out':
        zonesOut.add(decoded.zone);
        break;
    }
  });
  return { policy, directory: { instances, zonesOut } };
}
