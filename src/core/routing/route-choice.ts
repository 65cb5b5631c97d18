import { err, ok, type Result } from 'neverthrow';
import type { CodeName } from '../errors/registry.js';
import type { Candidate } from '../membership/membership-message.js';
import type { BackendServerName, RegionName, ZoneName } from '../model/names.js';
import type { Instant } from '../model/time.js';

/** Above this utilisation of the better candidate, other zones join. */
const SPILL_UTILISATION = 0.9;

/** A refusal counts against a candidate for this time. */
const REFUSAL_MS = 500;

/** A server of unknown load ranks in the middle, so that a cold or silent one draws no herd. */
const UNKNOWN_UTILISATION = 0.6;

/** Limit assumed for a server of unknown load when own calls in flight are weighed. */
const UNKNOWN_LIMIT = 10;

/** A candidate that was compared, with the figure that decided. */
export interface ComparedCandidate {
  readonly backendServer: BackendServerName;
  readonly zone: ZoneName;
  readonly utilisation: number;
}

/** The chosen backend server and the reason. */
export interface Choice {
  readonly backendServer: BackendServerName;
  /** A code of the range 5xxx. */
  readonly reason: CodeName;
  readonly considered: readonly ComparedCandidate[];
}

/** What a choice is made from. */
export interface ChoiceOptions {
  readonly candidates: readonly Candidate[];
  readonly ownZone: ZoneName;
  readonly ownRegion: RegionName;
  /** Calls of this node that the backend server has not answered yet. */
  readonly inFlight: (backendServer: BackendServerName) => number;
  /** Backend servers that refused this call before. */
  readonly excluded: ReadonlySet<BackendServerName>;
  /** Source of fractions at least 0 and below 1. */
  readonly random: () => number;
  readonly now: Instant;
}

function utilisationOf(options: ChoiceOptions, candidate: Candidate): number {
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

function reasonFor(options: ChoiceOptions, available: readonly Candidate[], chosen: Candidate) {
  if (options.excluded.size > 0) return 'chosenRetry';
  if (available.length === 1) return 'chosenOnly';
  if (chosen.zone === options.ownZone) return 'chosenInZone';
  return available.some(({ zone }) => zone === options.ownZone) ? 'chosenSpill' : 'chosenNoLocal';
}

/**
 * Chooses the backend server for a call: the better of two random candidates of the own zone;
 * when that one is loaded or refused shortly before, the region's other zones join, then others.
 *
 * @param options - the candidates and what is known of them
 * @returns the choice, or `noBackendServer` when no candidate is left
 */
export function chooseBackendServer(options: ChoiceOptions): Result<Choice, 'noBackendServer'> {
  const { ownZone, ownRegion, excluded, random, now } = options;
  const available = options.candidates.filter(({ backendServer }) => !excluded.has(backendServer));
  // A recent refusal outweighs any reported load, which may be older than the refusal.
  const score = (candidate: Candidate): number =>
    utilisationOf(options, candidate) + (isRefusing(candidate, now) ? 1000 : 0);
  const pools = [
    available.filter(({ zone }) => zone === ownZone),
    available.filter(({ zone, region }) => zone === ownZone || region === ownRegion),
    available,
  ];
  const bestOf = (compared: readonly Candidate[]): Candidate | undefined =>
    [...compared].sort((left, right) => score(left) - score(right))[0];
  const compared = pools.reduce<readonly Candidate[]>((before, pool) => {
    const bestSoFar = bestOf(before);
    if (bestSoFar !== undefined && score(bestSoFar) <= SPILL_UTILISATION) return before;
    return [...new Set([...before, ...pickTwo(pool, random)])];
  }, []);
  const best = bestOf(compared);
  if (best === undefined) return err('noBackendServer');
  return ok({
    backendServer: best.backendServer,
    reason: reasonFor(options, available, best),
    considered: compared.map((candidate) => ({
      backendServer: candidate.backendServer,
      zone: candidate.zone,
      utilisation: utilisationOf(options, candidate),
    })),
  });
}
