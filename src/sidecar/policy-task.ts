import type { RouteName, ServiceName } from '../core/model/names.js';
import { buildPolicyLookup, type PolicyLookup } from '../core/policy/policy-lookup.js';
import type { Policy, PrefixRoute } from '../core/policy/policy.js';
import { chooseWeighted, type Credits } from '../core/policy/weighted-choice.js';

/** Owner of the policy in force and of the shares of split routes. */
export class PolicyTask {
  #lookup: PolicyLookup | null = null;

  readonly #credits = new Map<RouteName, Credits>();

  /** @returns the tables of the policy in force, or null before the first one */
  get lookup(): PolicyLookup | null {
    return this.#lookup;
  }

  /**
   * Puts a policy in force; one that is not newer is ignored.
   *
   * @param policy - the policy
   * @returns whether it is in force now
   */
  apply(policy: Policy): boolean {
    if (this.#lookup !== null && policy.version <= this.#lookup.policy.version) return false;
    this.#lookup = buildPolicyLookup(policy);
    return true;
  }

  /**
   * Chooses the service of a request by the weights of its route.
   *
   * @param route - the route
   * @returns the service, or null when the route has none
   */
  chooseService({ name, destinations }: PrefixRoute): ServiceName | null {
    const [only, ...others] = destinations;
    if (only === undefined || others.length === 0) return only?.service ?? null;
    const { index, credits } = chooseWeighted(destinations, this.#credits.get(name) ?? []);
    this.#credits.set(name, credits);
    return destinations[index]?.service ?? null;
  }
}
