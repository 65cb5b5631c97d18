import type { Directory } from '../directory/directory.js';
import type { Instance } from '../directory/instance.js';
import type { Policy } from '../policy/policy.js';
import type { Mirror } from './mirror.js';
import type { PublishedValue, Publication } from './publication.js';

/** Decodes one published value; returns null when it is unreadable or not used by the node. */
export type ValueDecoder = (publication: Publication) => PublishedValue | null;

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
  decode: ValueDecoder,
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
