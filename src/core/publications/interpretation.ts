import type { Directory } from '../directory/directory.js';
import type { Instance } from '../directory/instance.js';
import type { Policy } from '../policy/policy.js';
import type { Mirror } from './mirror.js';
import type { Fact, Publication } from './publication.js';

/** Decodes one published value; null when it cannot be read or says nothing of use. */
export type FactReader = (publication: Publication) => Fact | null;

/** What the published values say together. */
export interface Interpretation {
  readonly policy: Policy | null;
  readonly directory: Directory;
}

/**
 * Reads all facts of a mirror.
 *
 * @param mirror - the copy of the published values
 * @param read - decodes one value
 * @param inForce - policy in force; an older one never replaces it
 * @returns policy and directory
 */
export function interpret(
  mirror: Mirror,
  read: FactReader,
  inForce: Policy | null,
): Interpretation {
  let policy = inForce;
  const instances: Instance[] = [];
  const zonesOut = new Set<string>();
  mirror.publications.forEach((publication) => {
    const fact = publication.text === null ? null : read(publication);
    if (fact === null) return;
    switch (fact.kind) {
      case 'policy':
        if (policy === null || fact.policy.version > policy.version) policy = fact.policy;
        break;
      case 'instance':
        instances.push(fact.instance);
        break;
      case 'zone-out':
        zonesOut.add(fact.zone);
        break;
    }
  });
  return { policy, directory: { instances, zonesOut } };
}
