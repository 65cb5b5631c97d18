import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeValue } from '../../platform/published-values.js';
import type { Policy } from '../../src/core/policy/policy.js';
import { POLICY } from '../sidecar/fleet.js';

type Json = unknown;
/** Path of a field in the published configuration. */
type FieldPath = readonly (string | number)[];

interface Decoding {
  readonly policy: Policy | null;
  /** Paths of the parts that were reported as unreadable. */
  readonly parts: readonly string[];
}

/** Values that no field of a configuration takes. */
const ODD_VALUES: readonly Json[] = [null, {}, [], 'odd', -1, true, ['odd'], { odd: 1 }];

const PUBLISHED = {
  ...POLICY,
  routes: [
    ...(POLICY.routes as readonly Json[]),
    {
      name: 'files',
      host: 'files.example',
      prefix: '/f/',
      kind: 'download',
      timeout: '2s',
      targetLatency: '1s',
      priority: 3,
      attempts: 2,
      trafficSplit: [
        { service: 'stock', weight: 9 },
        { service: 'desk', weight: 1 },
      ],
    },
  ],
};

function decode(value: Json): Decoding {
  const parts: string[] = [];
  const decoded = decodeValue(
    { key: 'op/config', revision: 1, text: JSON.stringify(value) },
    (_code, { part }) => parts.push(String(part)),
  );
  return { policy: decoded?.kind === 'policy' ? decoded.policy : null, parts };
}

function readablePolicy(value: Json): Policy {
  const { policy } = decode(value);
  assert.ok(policy);
  return policy;
}

/** Lists the paths of all fields and items of a value. */
function pathsOf(value: Json, path: FieldPath = []): readonly FieldPath[] {
  if (typeof value !== 'object' || value === null) return [];
  const keys = Array.isArray(value) ? value.map((_, index) => index) : Object.keys(value);
  return keys.flatMap((key) => {
    const inner = [...path, key];
    return [inner, ...pathsOf((value as Record<string | number, Json>)[key], inner)];
  });
}

/** Copies a value with another value, or nothing, in the place of one field. */
function withField(value: Json, [key, ...rest]: FieldPath, replacement: Json): Json {
  if (key === undefined) return replacement;
  if (Array.isArray(value)) {
    return value.map((item: Json, index) =>
      index === key ? withField(item, rest, replacement) : item,
    );
  }
  const fields = value as Readonly<Record<string, Json>>;
  return { ...fields, [key]: withField(fields[key], rest, replacement) };
}

const COMPLETE = readablePolicy(PUBLISHED);
const PATHS = pathsOf(PUBLISHED);

/** Whether the version or the list of routes, without which nothing can be applied, is replaced. */
function isEssential(path: FieldPath): boolean {
  return path.length === 1 && (path[0] === 'version' || path[0] === 'routes');
}

test('a route with large responses may be repeated, and one of an unknown kind may not', () => {
  // Guards against a fleet that rejects the whole configuration because of one unknown word.
  const files = COMPLETE.routes.find(({ name }) => name === 'files');
  assert.equal(files?.repeatability, 'idempotent');
  const { policy, parts } = decode(withField(PUBLISHED, ['routes', 0, 'kind'], 'sudden'));
  assert.equal(policy?.routes[0]?.repeatability, 'at-most-once');
  assert.deepEqual(policy.routes.slice(1), COMPLETE.routes.slice(1));
  assert.deepEqual(parts, ['routes.0.kind']);
});

test('unknown fields are ignored at every place of a configuration', () => {
  // Guards against nodes that stop reading when the platform adds a field.
  const places = PATHS.filter((path) => {
    const parent = path.reduce<Json>(
      (value, key) => (value as Record<string | number, Json>)[key],
      PUBLISHED,
    );
    return typeof parent === 'object' && parent !== null && !Array.isArray(parent);
  });
  [[], ...places].forEach((path) => {
    const extended = withField(PUBLISHED, [...path, 'unheardOf'], { deep: [1] });
    assert.deepEqual(decode(extended), { policy: COMPLETE, parts: [] });
  });
});

test('an unreadable field costs its own part of a configuration only', () => {
  // Guards against one odd value in one route, service or account that takes a whole fleet down.
  PATHS.filter((path) => !isEssential(path)).forEach((path) => {
    [...ODD_VALUES, undefined].forEach((odd) => {
      const policy = readablePolicy(withField(PUBLISHED, path, odd));
      const [list, index] = path;
      const name = JSON.stringify([path, odd ?? 'missing']);
      COMPLETE.routes.forEach((route, at) => {
        if (list === 'routes' && at === index) return;
        assert.ok(
          policy.routes.some((kept) => kept.prefix === route.prefix && kept.host === route.host),
          name,
        );
      });
      if (list !== 'services') assert.deepEqual(policy.services, COMPLETE.services, name);
      if (list !== 'tenants') assert.deepEqual(policy.accounts, COMPLETE.accounts, name);
      if (list !== 'limits') assert.deepEqual(policy.limits, COMPLETE.limits, name);
    });
  });
});

test('no odd value makes a request repeatable, opens a route or adds a key', () => {
  // Guards against an order that runs twice, or a caller without a key, after an odd change.
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.constantFrom(...PATHS), fc.jsonValue()), { minLength: 1, maxLength: 8 }),
      (changes) => {
        const value = changes.reduce<Json>((changed, [path, odd]) => {
          const hasPlace = pathsOf(changed).some(
            (known) => JSON.stringify(known) === JSON.stringify(path),
          );
          return hasPlace ? withField(changed, path, odd) : changed;
        }, PUBLISHED);
        const { policy } = decode(value);
        const published = (value as { readonly routes?: Json }).routes;
        (policy?.routes ?? []).forEach((route) => {
          const isPublished = (field: string, values: readonly Json[]): boolean =>
            (published as readonly Readonly<Record<string, Json>>[]).some(
              (item) =>
                item?.['host'] === route.host &&
                item['prefix'] === route.prefix &&
                values.includes(item[field]),
            );
          if (route.repeatability === 'idempotent') {
            assert.ok(isPublished('kind', ['safe', 'download']));
          }
          if (route.access === 'open') assert.ok(isPublished('public', [true]));
        });
        const text = JSON.stringify(value);
        (policy?.accounts ?? []).forEach(({ keys }) =>
          keys.forEach((key) => assert.ok(text.includes(JSON.stringify(key)))),
        );
      },
    ),
    { seed: 20261205, numRuns: 500 },
  );
});

test('a configuration without a version or a list of routes is rejected as a whole', () => {
  // Guards against an order of versions that depends on a guess.
  [['version'], ['routes']].forEach((path) => {
    assert.deepEqual(decode(withField(PUBLISHED, path, 'odd')).policy, null);
  });
});

test('what may belong to an unreadable part is known to be missing', () => {
  // Guards against a refusal for good (401, 404) of a request that the configuration allows.
  const gapsOf = (path: FieldPath, value: Json) =>
    readablePolicy(withField(PUBLISHED, path, value)).gaps;
  assert.deepEqual(COMPLETE.gaps, { routes: false, keys: false });
  assert.deepEqual(gapsOf(['routes', 0, 'prefix'], 4), { routes: true, keys: false });
  assert.deepEqual(gapsOf(['routes', 0], 'odd'), { routes: true, keys: false });
  assert.deepEqual(gapsOf(['tenants', 0, 'apiKeys', 0], 4), { routes: false, keys: true });
  assert.deepEqual(gapsOf(['tenants'], 4), { routes: false, keys: true });
});
