import { Codec, enumeration, exactly, number, oneOf, string, type GetType } from 'purify-ts/Codec';

function literals<Literal extends string>(...values: readonly Literal[]): Codec<Literal> {
  return enumeration(Object.fromEntries(values.map((v) => [v, v])) as Record<string, Literal>);
}

/** Nodes are `front-a` to `back-c`, zones `a` to `c`, accounts `mill` and `shop`. */
const requestFields = {
  node: string,
  account: string,
  route: literals('read', 'deep', 'order', 'open', 'item', 'leak'),
};

/** Codec of a step of a random run or of a scenario file. */
export const stepCodec = oneOf([
  /** Sends a request; a mark that was used before repeats that request. */
  Codec.interface({ kind: exactly('request'), ...requestFields, mark: string }),
  /** Sends requests `MARK-0`, `MARK-1` and so on at a constant rate; node `any` means all nodes. */
  Codec.interface({
    kind: exactly('load'),
    ...requestFields,
    mark: string,
    perSecond: number,
    ms: number,
  }),
  Codec.interface({ kind: exactly('pause'), node: string, ms: number }),
  Codec.interface({ kind: exactly('restart'), node: string }),
  /** The host fails without closing its connections; another replaces it under a new address. */
  Codec.interface({ kind: exactly('replace'), node: string, ms: number }),
  Codec.interface({ kind: exactly('stop'), node: string }),
  Codec.interface({ kind: exactly('leave'), node: string }),
  Codec.interface({ kind: exactly('return'), node: string }),
  Codec.interface({
    kind: exactly('zone'),
    zone: string,
    state: literals('in', 'out'),
  }),
  Codec.interface({ kind: exactly('withdraw'), account: string }),
  Codec.interface({ kind: exactly('grant'), account: string }),
  Codec.interface({
    kind: exactly('service'),
    state: literals('up', 'down', 'stale'),
  }),
  /** Partitions the fleet into the nodes whose names contain the text, and the others. */
  Codec.interface({ kind: exactly('cut'), nodes: string, ms: number }),
  Codec.interface({ kind: exactly('silence'), node: string }),
  Codec.interface({
    kind: exactly('backend'),
    node: string,
    mode: literals('well', 'slow', 'failing', 'cold', 'crash', 'silent'),
  }),
  Codec.interface({ kind: exactly('wait'), ms: number }),
]);

export type Step = GetType<typeof stepCodec>;

export const ZONES = ['a', 'b', 'c'] as const;
export const NODES = ['front', 'back'].flatMap((service) =>
  ZONES.map((zone) => `${service}-${zone}`),
);
export const ACCOUNTS = ['mill', 'shop'] as const;

/** Faults are rare compared with requests, so that most requests can succeed. */
const FAULT_SHARE = 0.02;
const REPEAT_SHARE = 0.15;
const WAIT_SHARE = 0.5;
const CRASH_SHARE = 0.002;

type Picker = <T>(items: readonly T[]) => T;

function drawFault(pick: Picker, random: () => number, mark: string): Step {
  const node = pick(NODES);
  const account = pick(ACCOUNTS);
  const ms = Math.floor(100 + random() * 4000);
  return pick<() => Step>([
    () => ({ kind: 'pause', node, ms }),
    () => ({ kind: 'restart', node }),
    () => ({ kind: 'replace', node, ms }),
    () => ({ kind: 'stop', node }),
    () => ({ kind: 'leave', node }),
    () => ({ kind: 'return', node }),
    () => ({ kind: 'return', node }),
    () => ({ kind: 'zone', zone: pick(ZONES), state: pick(['in', 'in', 'in', 'out'] as const) }),
    () => ({ kind: 'withdraw', account }),
    () => ({ kind: 'grant', account }),
    () => ({ kind: 'grant', account }),
    () => ({ kind: 'grant', account }),
    () => ({ kind: 'service', state: pick(['up', 'up', 'down', 'stale'] as const) }),
    () => ({ kind: 'cut', nodes: pick(['-a', '-b', 'back', node]), ms }),
    () => ({ kind: 'silence', node }),
    () => ({
      kind: 'backend',
      node,
      mode: pick(['well', 'well', 'slow', 'failing', 'cold', 'crash', 'silent'] as const),
    }),
    () => ({ kind: 'load', node: 'any', account, route: 'deep', mark, perSecond: 200, ms: 500 }),
  ])();
}

/**
 * Draws the steps of a run.
 *
 * @param count - number of steps
 * @param random - source of random numbers from 0 to below 1
 * @returns the steps, which depend only on the parameters
 */
export function randomSteps(count: number, random: () => number): readonly Step[] {
  const pick: Picker = (items) => {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) throw new RangeError('cannot pick from an empty list');
    return item;
  };
  const earlierRequests: Extract<Step, { kind: 'request' }>[] = [];
  return Array.from({ length: count }, (_, index): Step => {
    const draw = random();
    if (draw < FAULT_SHARE) return drawFault(pick, random, `load${index}`);
    if (draw < WAIT_SHARE) return { kind: 'wait', ms: 1 + Math.floor(random() * 60) };
    const node = pick(NODES);
    if (draw < WAIT_SHARE + REPEAT_SHARE && earlierRequests.length > 0) {
      return { ...pick(earlierRequests.slice(-20)), node };
    }
    const route = pick(['read', 'deep', 'order', 'order', 'open', 'item', 'leak'] as const);
    const mark = `${random() < CRASH_SHARE ? 'crash' : 'm'}${index}`;
    const step = { kind: 'request', node, account: pick(ACCOUNTS), route, mark } as const;
    earlierRequests.push(step);
    return step;
  });
}
