import { err, ok, type Result } from 'neverthrow';
import type { CodeName } from '../errors/registry.js';
import type { Candidate } from '../membership/membership-message.js';
import type { BackendServerName, RegionName, ZoneName } from '../model/names.js';
import type { Instant } from '../model/time.js';

/** Utilisation of the best candidate above which candidates of other zones are added. */
const SPILL_UTILISATION = 0.9;

/** Time for which a candidate is avoided after a refusal. */
const REFUSAL_MS = 500;

/** Utilisation assumed for a server of unknown load, so that a cold one gets no thundering herd. */
const UNKNOWN_UTILISATION = 0.6;

/** Limit assumed for a server of unknown load, which scales this node's calls in flight. */
const UNKNOWN_LIMIT = 10;

/** A candidate of the comparison with its utilisation. */
export interface ComparedCandidate {
  readonly backendServer: BackendServerName;
  readonly zone: ZoneName;
  readonly utilisation: number;
}

/** The chosen backend server, the reason and the compared candidates. */
export interface Choice {
  readonly backendServer: BackendServerName;
  /** Reason code in the range 5xxx. */
  readonly reason: CodeName;
  readonly considered: readonly ComparedCandidate[];
}

/** Inputs of the choice of a backend server. */
export interface ChoiceOptions {
  readonly candidates: readonly Candidate[];
  readonly ownZone: ZoneName;
  readonly ownRegion: RegionName;
  /** Returns the number of calls of this node that the backend server has not answered yet. */
  readonly inFlight: (backendServer: BackendServerName) => number;
  /** Backend servers that have already been tried for this call. */
  readonly excluded: ReadonlySet<BackendServerName>;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly now: Instant;
}

function computeUtilisation(options: ChoiceOptions, candidate: Candidate): number {
  const { load, backendServer } = candidate;
  const own = options.inFlight(backendServer);
  return load === null
    ? UNKNOWN_UTILISATION + own / UNKNOWN_LIMIT
    : (own + load.running + load.queued) / Math.max(load.limit, 1);
}

function isRefusing({ refusedAt }: Candidate, now: Instant): boolean {
  return refusedAt !== null && now - refusedAt < REFUSAL_MS;
}

function pickTwo(pool: readonly Candidate[], random: () => number): readonly Candidate[] {
  const first = Math.floor(random() * pool.length);
  const second = (first + 1 + Math.floor(random() * (pool.length - 1))) % pool.length;
  return [...new Set([first, second])]
    .map((index) => pool[index])
    .filter((candidate) => candidate !== undefined);
}

function selectReason(options: ChoiceOptions, available: readonly Candidate[], chosen: Candidate) {
  if (options.excluded.size > 0) return 'chosenRetry';
  if (available.length === 1) return 'chosenOnly';
  if (chosen.zone === options.ownZone) return 'chosenInZone';
  return available.some(({ zone }) => zone === options.ownZone) ? 'chosenSpill' : 'chosenNoLocal';
}

/**
 * Chooses the backend server for a call: the better of two random candidates in this node's zone.
 * When that candidate is loaded or has refused a call recently, two random candidates of the region
 * are added to the comparison, and then two of all regions.
 *
 * @param options - the candidates and their state
 * @returns the choice, or `noBackendServer` when no candidate is left
 */
export function chooseBackendServer(options: ChoiceOptions): Result<Choice, 'noBackendServer'> {
  const { ownZone, ownRegion, excluded, random, now } = options;
  const available = options.candidates.filter(({ backendServer }) => !excluded.has(backendServer));
  // A recent refusal outweighs any reported load, which may be older than the refusal.
  const score = (candidate: Candidate): number =>
    computeUtilisation(options, candidate) + (isRefusing(candidate, now) ? 1000 : 0);
  const pools = [
    available.filter(({ zone }) => zone === ownZone),
    available.filter(({ zone, region }) => zone === ownZone || region === ownRegion),
    available,
  ];
  const selectBest = (compared: readonly Candidate[]): Candidate | undefined =>
    [...compared].sort((left, right) => score(left) - score(right))[0];
  const compared = pools.reduce<readonly Candidate[]>((before, pool) => {
    const bestSoFar = selectBest(before);
    if (bestSoFar !== undefined && score(bestSoFar) <= SPILL_UTILISATION) return before;
    return [...new Set([...before, ...pickTwo(pool, random)])];
  }, []);
  const best = selectBest(compared);
  if (best === undefined) return err('noBackendServer');
  return ok({
    backendServer: best.backendServer,
    reason: selectReason(options, available, best),
    considered: compared.map((candidate) => ({
      backendServer: candidate.backendServer,
      zone: candidate.zone,
      utilisation: computeUtilisation(options, candidate),
    })),
  });
}
