import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ACCOUNT, judge, type Observation } from '../../soak/processes/observation.js';

const HOST = '127.0.0.1';
const GOOD_KEY = 'good';
const CONFIGURED: Observation = { kind: 'configured', keys: new Set([GOOD_KEY]), at: 0 };

function asked(id: string, change: Partial<Extract<Observation, { kind: 'asked' }>> = {}) {
  return {
    kind: 'asked',
    id,
    path: `/order/${id}`,
    isRepeatable: false,
    host: HOST,
    key: GOOD_KEY,
    at: 10_000,
    ...change,
  } as const;
}

function ran(id: string, change: Partial<Extract<Observation, { kind: 'ran' }>> = {}) {
  return {
    kind: 'ran',
    id,
    path: `/order/${id}`,
    account: ACCOUNT,
    showsKey: false,
    at: 10_010,
    ...change,
  } as const;
}

function answered(id: string, change: Partial<Extract<Observation, { kind: 'answered' }>> = {}) {
  return {
    kind: 'answered',
    id,
    status: 200,
    isOwn: true,
    isForeign: false,
    at: 10_020,
    ...change,
  } as const;
}

function promisesOf(seen: readonly Observation[]): readonly string[] {
  return judge([CONFIGURED, ...seen]).map(({ promise }) => promise);
}

test('a request that runs once and gets its own answer keeps all promises', () => {
  // Guards against a judge that fails every run and is then ignored.
  assert.deepEqual(promisesOf([asked('1'), ran('1'), answered('1')]), []);
});

// Guards against a judge that would not see the failure of each promise.
for (const [promise, seen] of [
  ['at-most-once', [asked('1'), ran('1'), ran('1'), answered('1')]],
  ['unasked', [ran('1')]],
  ['unasked', [asked('1'), ran('1', { path: '/order/2' })]],
  ['own-account', [asked('1'), ran('1', { account: null })]],
  ['key-hidden', [asked('1'), ran('1', { showsKey: true })]],
  ['not-run', [asked('1'), answered('1', { status: 503, isOwn: false }), ran('1')]],
  ['own-answer', [asked('1'), ran('1'), answered('1', { isOwn: false })]],
  ['own-answer', [asked('1'), answered('1', { status: 500, isOwn: false, isForeign: true })]],
  ['configuration', [asked('1', { key: 'old' }), ran('1')]],
] as const) {
  test(`the judge sees a broken promise: ${promise} (${seen.length} observations)`, () => {
    assert.deepEqual(promisesOf(seen), [promise]);
  });
}

test('a repeatable request may run twice', () => {
  // Guards against calling the repeat of a lookup a fault.
  assert.deepEqual(promisesOf([asked('1', { isRepeatable: true }), ran('1'), ran('1')]), []);
});

test('a withdrawn key may still be in force for two seconds, and longer at a host with a fault', () => {
  // Guards against a bound for hosts that could not hear of the change.
  const withdrawn: Observation = { kind: 'configured', keys: new Set(), at: 9000 };
  const fault: Observation = { kind: 'disturbed', host: HOST, from: 8000, until: 9500 };
  const late = asked('2', { at: 11_500 });
  assert.deepEqual(promisesOf([withdrawn, asked('1'), ran('1')]), []);
  assert.deepEqual(promisesOf([withdrawn, late, ran('2', { at: 11_510 })]), ['configuration']);
  assert.deepEqual(promisesOf([withdrawn, fault, late, ran('2', { at: 11_510 })]), []);
});

test('answers that come long after the limit of the route are a fault', () => {
  // Guards against callers that are kept waiting for nothing.
  const many = Array.from({ length: 10 }, (_, at) => String(at));
  const held = many.flatMap((id) => [asked(id), answered(id, { at: 13_000 })]);
  assert.deepEqual(promisesOf(held), ['time-limit']);
  const inTime = many.flatMap((id) => [asked(id), answered(id, { at: 12_100 })]);
  assert.deepEqual(promisesOf(inTime), []);
});

test('lookups that fail after the last fault is over are a fault', () => {
  // Guards against a fleet that stays down after it was killed.
  const calm: Observation = { kind: 'calm', at: 1000 };
  const lookups = Array.from({ length: 10 }, (_, at) => asked(String(at), { isRepeatable: true }));
  const lost = lookups.map(({ id, at }) => ({ kind: 'broken', id, at: at + 5 }) as const);
  assert.deepEqual(promisesOf([calm, ...lookups, ...lost]), ['recovery']);
  const served = lookups.map(({ id }) => answered(id));
  assert.deepEqual(promisesOf([calm, ...lookups, ...served]), []);
});
