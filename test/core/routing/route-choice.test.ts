import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import type { Candidate } from '../../../src/core/membership/membership-message.js';
import { chooseBackendServer, type Choice } from '../../../src/core/routing/route-choice.js';

const NOW = 10_000;

function candidate(name: string, zone: string, running: number | null, refusedAt?: number) {
  const load =
    running === null ? null : ({ state: 'serving', running, queued: 0, limit: 100 } as const);
  const region = zone.startsWith('r2') ? 'r2' : 'r1';
  return { backendServer: name, zone, region, load, refusedAt: refusedAt ?? null };
}

/** Counts 1000 choices by backend server and reason. */
function choose(candidates: readonly Candidate[], excluded: readonly string[] = []) {
  const generator = xorshift128plus(11);
  const counts = new Map<string, number>();
  for (let draw = 0; draw < 1000; draw += 1) {
    const choice = chooseBackendServer({
      candidates,
      ownZone: 'a',
      ownRegion: 'r1',
      inFlight: () => 0,
      excluded: new Set(excluded),
      random: () => uniformFloat32(generator),
      now: NOW,
    }).unwrapOr<Choice | null>(null);
    const key = choice === null ? 'none' : `${choice.backendServer} ${choice.reason}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return Object.fromEntries([...counts].sort());
}

test('a lightly loaded own zone gets all calls', () => {
  // Guards against unnecessary calls between zones.
  const counts = choose([candidate('x', 'a', 50), candidate('y', 'a', 80), candidate('z', 'b', 0)]);
  assert.deepEqual(counts, { 'x chosenInZone': 1000 });
});

test('a loaded own zone spills over into the own region first', () => {
  // Guards against calls between regions while another zone of the region has capacity.
  const candidates = [candidate('x', 'a', 95), candidate('y', 'b', 20), candidate('z', 'r2-c', 0)];
  const counts = choose(candidates);
  assert.equal(counts['z chosenSpill'], undefined);
  assert.ok((counts['y chosenSpill'] ?? 0) > 0);
});

test('a recent refusal sends calls to another zone, and an old one does not', () => {
  // Guards against entries that keep sending calls to a gate that has just refused one.
  const other = candidate('y', 'b', 20);
  const recent = choose([candidate('x', 'a', 5, NOW - 400), other]);
  assert.equal(recent['x chosenInZone'], undefined);
  assert.deepEqual(choose([candidate('x', 'a', 5, NOW - 600), other]), { 'x chosenInZone': 1000 });
});

test('a server of unknown load gets a limited share of the calls', () => {
  // Guards against a thundering herd on a server that has just started.
  const counts = choose([
    candidate('cold', 'a', null),
    candidate('x', 'a', 50),
    candidate('y', 'a', 70),
    candidate('z', 'a', 70),
  ]);
  const cold = counts['cold chosenInZone'] ?? 0;
  assert.ok(cold > 100 && cold < 500, `${cold} of 1000`);
});

test('each choice has the matching reason code', () => {
  // Guards against a wrong reason in the log.
  assert.deepEqual(choose([]), { none: 1000 });
  assert.deepEqual(choose([candidate('x', 'b', 5)]), { 'x chosenOnly': 1000 });
  const both = [candidate('x', 'a', 5), candidate('y', 'a', 5)];
  assert.deepEqual(choose(both, ['x']), { 'y chosenRetry': 1000 });
  const far = choose([candidate('x', 'b', 5), candidate('y', 'b', 50)]);
  assert.deepEqual(far, { 'x chosenNoLocal': 1000 });
});
