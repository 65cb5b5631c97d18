import type { RouteName, ServiceName } from '../core/model/names.js';
import { buildPolicyLookup, type PolicyLookup } from '../core/policy/policy-lookup.js';
import type { Policy, PrefixRoute } from '../core/policy/policy.js';
import { chooseWeighted, type Credits } from '../core/policy/weighted-choice.js';

/** Owns the policy in force and the state of the weighted choice of each route. */
export class PolicyTask {
  #lookup: PolicyLookup | null = null;

  readonly #credits = new Map<RouteName, Credits>();

  /** @returns the lookup tables of the policy in force, or null before the first policy */
  get lookup(): PolicyLookup | null {
    return this.#lookup;
  }

  /**
   * Puts a policy in force, unless its version is not higher than that of the policy in force.
   *
   * @param policy - the policy
   * @returns whether the policy was accepted
   */
  apply(policy: Policy): boolean {
    if (this.#lookup !== null && policy.version <= this.#lookup.policy.version) return false;
    this.#lookup = buildPolicyLookup(policy);
    return true;
  }

  /**
   * Chooses the service for a request by the weights of its route.
   *
   * @param route - the route of the request
   * @returns the service, or null when the route has no destination
   */
  chooseService({ name, destinations }: PrefixRoute): ServiceName | null {
    const [only, ...others] = destinations;
    if (only === undefined || others.length === 0) return only?.service ?? null;
    const { index, credits } = chooseWeighted(destinations, this.#credits.get(name) ?? []);
    this.#credits.set(name, credits);
    return destinations[index]?.service ?? null;
  }
}
