import type { Directory } from '../directory/directory.js';
import type { Instance } from '../directory/instance.js';
import type { Policy } from '../policy/policy.js';
import type { Mirror } from './mirror.js';
import type { PublishedValue, Publication } from './publication.js';

/** Decodes one published value; null when it cannot be read or says nothing of use. */
export type ValueDecoder = (publication: Publication) => PublishedValue | null;

/** What the published values say together. */
export interface Interpretation {
  readonly policy: Policy | null;
  readonly directory: Directory;
}

/**
 * Reads all facts of a mirror.
 *
 * @param mirror - the copy of the published values
 * @param decode - decodes one value
 * @param inForce - policy in force; an older one never replaces it
 * @returns policy and directory
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
