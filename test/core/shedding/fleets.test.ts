import assert from 'node:assert/strict';
import { LEAST_SHARE } from '../../../src/core/shedding/route-load.js';
import { testUnlessKnownRed } from '../../known-red.js';
import { CallGraph, type CallGraphResult } from './call-graph.js';
import { FLEETS, REQUEST_VALUE, SLOT_CALLS } from './fleets.js';
import type { CallGraphOptions } from './graph-node.js';

/** Goodput has to come this close to that of a scheduler that knows everything. */
const IDEAL_SHARE = 0.9;

/** Seconds in which the load is measured, after the entries have learned of it. */
const FROM_S = 4;
const UNTIL_S = 11;

const MS_PER_SECOND = 1000;

/** Usable share of the slots of a server. */
const USABLE_SHARE = 0.95;

interface Load {
  readonly name: string;
  readonly change: (fleet: CallGraphOptions) => CallGraphOptions;
}

function multiplyArrivals(fleet: CallGraphOptions, factor: number): CallGraphOptions {
  const arrivals = fleet.arrivals.map(({ kind, perSecond }) => ({
    kind,
    perSecond: perSecond * factor,
  }));
  return { ...fleet, arrivals };
}

function halveCouriers(fleet: CallGraphOptions): CallGraphOptions {
  const services = fleet.services.map((service) =>
    service.name === 'courier' ? { ...service, gates: Math.ceil(service.gates / 2) } : service,
  );
  return { ...fleet, services };
}

const LOADS: readonly Load[] = [
  { name: 'its usual load', change: (fleet) => fleet },
  { name: 'two and a half times its load', change: (fleet) => multiplyArrivals(fleet, 2.5) },
  { name: 'four times its load', change: (fleet) => multiplyArrivals(fleet, 4) },
  { name: 'its load after half of the couriers are lost', change: halveCouriers },
];

/** Calls a second that the scarcest service can run, in units of one slot call. */
function courierCapacity({ services, kinds }: CallGraphOptions): number {
  const couriers = services.find(({ name }) => name === 'courier');
  const slot = kinds.find(({ name }) => name === 'slot');
  assert.ok(couriers !== undefined && slot !== undefined);
  const slots = couriers.gates * Math.floor(couriers.slots * USABLE_SHARE);
  return (slots * MS_PER_SECOND) / slot.workMs;
}

/** Whether requests of a kind reach the scarcest service by calls that they make. */
function makesCalls({ kinds }: CallGraphOptions, name: string): boolean {
  return kinds.some((kind) => kind.name === name && kind.calls.length > 0);
}

/**
 * Value a second of a scheduler that serves the least share of each kind of request that makes
 * calls, and beyond it whole requests in the order of their priority.
 */
function idealValue(fleet: CallGraphOptions): number {
  const priorityOf = (name: string) =>
    fleet.kinds.find((kind) => kind.name === name)?.priority ?? 0;
  const byRank = [...fleet.arrivals].sort(
    (left, right) => priorityOf(left.kind) - priorityOf(right.kind),
  );
  let left = courierCapacity(fleet);
  const serve = (kind: string, perSecond: number): number => {
    const calls = SLOT_CALLS[kind] ?? 0;
    const served = calls === 0 ? perSecond : Math.min(perSecond, left / calls);
    left -= served * calls;
    return served;
  };
  const least = new Map(
    byRank.map(({ kind, perSecond }) => [
      kind,
      makesCalls(fleet, kind) ? serve(kind, perSecond * LEAST_SHARE) : 0,
    ]),
  );
  return byRank.reduce((value, { kind, perSecond }) => {
    const leastServed = least.get(kind) ?? 0;
    const served = leastServed + serve(kind, perSecond - leastServed);
    return value + served * (REQUEST_VALUE[kind] ?? 0);
  }, 0);
}

/** Lowest served share of the kinds of requests that make calls. */
function lowestShare(fleet: CallGraphOptions, result: CallGraphResult): number {
  return fleet.arrivals
    .filter(({ kind }) => makesCalls(fleet, kind))
    .reduce((lowest, { kind }) => {
      const seconds = (result.get(kind) ?? []).slice(FROM_S, UNTIL_S);
      const requested = seconds.reduce((sum, second) => sum + second.requested, 0);
      const completed = seconds.reduce((sum, second) => sum + second.completed, 0);
      return Math.min(lowest, completed / requested);
    }, 1);
}

function servedValue(result: CallGraphResult): number {
  const seconds = UNTIL_S - FROM_S;
  return [...result].reduce((value, [kind, results]) => {
    const completed = results
      .slice(FROM_S, UNTIL_S)
      .reduce((sum, second) => sum + second.completed, 0);
    return value + (completed * (REQUEST_VALUE[kind] ?? 0)) / seconds;
  }, 0);
}

/** Cases that KNOWN-RED.txt lists. */
const KNOWN_RED: readonly string[] = ['195 nodes at four times its load'];

for (const [size, fleet] of Object.entries(FLEETS)) {
  for (const { name, change } of LOADS) {
    const loaded = change(fleet);
    let simulated: CallGraphResult | null = null;
    // Guards against entries that each see too few replies to learn of an overload deep in the
    // call graph, where it costs the most important requests.
    testUnlessKnownRed(
      `a fleet of ${size} at ${name} serves nearly what an ideal scheduler would`,
      KNOWN_RED.includes(`${size} at ${name}`),
      () => {
        simulated ??= new CallGraph(loaded).simulate();
        const share = servedValue(simulated) / idealValue(loaded);
        assert.ok(share >= IDEAL_SHARE, `${share.toFixed(3)} of the ideal`);
        const lowest = lowestShare(loaded, simulated);
        assert.ok(lowest >= LEAST_SHARE * IDEAL_SHARE, `lowest share ${lowest.toFixed(3)}`);
      },
    );
  }
}
