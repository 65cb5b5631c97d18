import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildPolicyLookup, findRoute } from '../../../src/core/policy/policy-lookup.js';
import type { Policy, PrefixRoute } from '../../../src/core/policy/policy.js';
import { chooseWeighted } from '../../../src/core/policy/weighted-choice.js';

function route(name: string, host: string, prefix: string): PrefixRoute {
  return {
    name,
    host,
    prefix,
    repeatability: 'idempotent',
    timeoutMs: 1000,
    latencyObjectiveMs: 500,
    priority: 0,
    destinations: [{ service: name, weight: 1 }],
    attempts: 2,
    access: 'keyed',
  };
}

const POLICY: Policy = {
  version: 1,
  routes: [
    route('all', 'a.example', '/'),
    route('x', 'a.example', '/x/'),
    route('xy', 'a.example', '/x/y/'),
  ],
  services: [],
  accounts: null,
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  gaps: { routes: false, keys: false },
};

test('the route with the longest prefix that matches host and path is chosen', () => {
  // Guards against sending a request to the service of a shorter prefix or of another host.
  const lookup = buildPolicyLookup(POLICY);
  const nameOf = (host: string, path: string) => findRoute(lookup, host, path)?.name ?? null;
  assert.equal(nameOf('a.example', '/x/y/1'), 'xy');
  assert.equal(nameOf('A.example:80', '/x/z?q=/x/y/'), 'x');
  assert.equal(nameOf('a.example', '/xy'), 'all');
  assert.equal(nameOf('a.example', '/x'), 'all');
  assert.equal(nameOf('b.example', '/x/'), null);
});

test('a weighted choice stays close to its weights in every sequence of requests', () => {
  // Guards against shares that match the weights only on average over many requests.
  const destinations = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
  ];
  let credits: readonly number[] = [];
  const chosen = Array.from({ length: 100 }, () => {
    const choice = chooseWeighted(destinations, credits);
    credits = choice.credits;
    return choice.index;
  });
  assert.equal(chosen.filter((index) => index === 1).length, 10);
  assert.equal(chosen.slice(0, 10).filter((index) => index === 1).length, 1);
});
