import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { bundleDocument, readBundle } from '../../../src/core/configuration/bundle.js';
import { canonicalJson } from '../../../src/core/configuration/canonical-json.js';
import {
  DocumentReader,
  fromDocument,
  toDocument,
} from '../../../src/core/configuration/document.js';
import { MAX_PART_BYTES } from '../../../src/core/configuration/manifest.js';
import { documentDigest } from '../../../src/core/model/document-digest.js';
import type { Document } from '../../../src/core/model/document.js';
import { errorOf, valueOf } from '../../results.js';
import { loadSet } from './sets.js';

const SEED = 20261204;

function hostsDocument(entries: ReadonlyMap<string, string>): Document {
  return { topic: 'hosts/east', version: 3, digest: documentDigest(entries), entries };
}

test('a configuration is unchanged after the conversion to a document and a bundle and back', async () => {
  // Guards against a field that is lost or renamed in the published document.
  for (const directory of ['examples/kelpie', 'examples/co-op', 'test/fixtures/newer-set']) {
    const configuration = await loadSet(directory);
    const { manifestText, parts } = valueOf(bundleDocument(toDocument(configuration)));
    const opened = readBundle(manifestText, parts).andThen(fromDocument);
    assert.deepEqual(valueOf(opened), configuration);
  }
});

test('any document can be restored from its parts, and no part exceeds the size limit', () => {
  // Guards against values that the configuration service rejects as too large.
  const value = fc.record({ size: fc.integer({ min: 0, max: 400_000 }), odd: fc.string() });
  fc.assert(
    fc.property(fc.dictionary(fc.string({ minLength: 1 }), value, { maxKeys: 12 }), (items) => {
      const entries = new Map(
        Object.entries(items).map(([key, { size, odd }]) => [
          key,
          canonicalJson({ text: `${odd}${'é'.repeat(size)}` }),
        ]),
      );
      const document = hostsDocument(entries);
      const { manifestText, parts } = valueOf(bundleDocument(document));
      parts.forEach((text) => assert.ok(Buffer.byteLength(text) <= MAX_PART_BYTES));
      const opened = valueOf(readBundle(manifestText, parts));
      assert.deepEqual([...opened.entries].sort(), [...entries].sort());
      assert.equal(opened.digest, document.digest);
    }),
    { seed: SEED, numRuns: 40 },
  );
});

test('one changed entry changes one part', () => {
  // Guards against nodes that download the whole document after each of 5,700 daily changes.
  const entries = new Map(
    Array.from({ length: 20_000 }, (_, index) => [`accounts/a${index}`, '{"burst":1}'] as const),
  );
  const before = valueOf(bundleDocument(hostsDocument(entries))).parts;
  const changed = new Map([...entries, ['accounts/a777', '{"burst":22}'] as const]);
  const after = valueOf(bundleDocument(hostsDocument(changed))).parts;
  assert.ok(before.size > 1);
  assert.equal([...after.keys()].filter((digest) => !before.has(digest)).length, 1);
});

test('damaged and missing parts, a mismatched digest and an invalid manifest are rejected', async () => {
  // Guards against a configuration that mixes parts of two revisions.
  const document = toDocument(await loadSet('test/fixtures/older-set'));
  const { manifest, manifestText, parts } = valueOf(bundleDocument(document));
  const [[digest, text] = ['', '']] = parts;
  const codes = (givenManifest: string, givenParts: ReadonlyMap<string, string>) =>
    readBundle(givenManifest, givenParts).match(
      () => [],
      (faults) => faults.map(({ code, place }) => `${code} ${place}`),
    );
  assert.deepEqual(codes(manifestText, new Map()), [`fieldMissing parts/${digest}`]);
  assert.deepEqual(codes(manifestText, new Map([[digest, `${text} `]])), [
    `setInconsistent parts/${digest}`,
  ]);
  const otherDigest = canonicalJson({ ...manifest, digest: 'a'.repeat(64) });
  assert.deepEqual(codes(otherDigest, parts), ['setInconsistent digest']);
  assert.deepEqual(codes('{"version":1.5,"parts":[{}]}', parts), [
    'fieldMissing topic',
    'valueInvalid version',
    'fieldMissing digest',
  ]);
});

test('an entry above the size limit is reported by its key', () => {
  // Guards against a published value that is truncated.
  const entries = new Map([['big', canonicalJson('x'.repeat(MAX_PART_BYTES))]]);
  const [fault] = errorOf(bundleDocument(hostsDocument(entries)));
  assert.deepEqual([fault?.code, fault?.place], ['valueTooLarge', 'big']);
});

test('a reader of successive documents returns the same result as a new reader', async () => {
  // Guards against a cached entry of an older revision that stays in use.
  const base = await loadSet('test/fixtures/older-set');
  const reader = new DocumentReader();
  const bursts = [10, 10, 0, 30, 10];
  bursts.forEach((burst, index) => {
    const accounts = base.accounts.map((account) => ({ ...account, burst }));
    const routes = base.routes.slice(index % 2);
    const document = toDocument({ ...base, revision: index + 1, accounts, routes });
    assert.deepEqual(reader.read(document), fromDocument(document));
    assert.equal(reader.read(document).isOk(), burst > 0);
  });
});

test('a document is checked as strictly as the files', async () => {
  // Guards against a published document with faults that the check command would report.
  const document = toDocument(await loadSet('test/fixtures/older-set'));
  const entries = new Map([
    ...document.entries,
    ['accounts/mill', '{"burst":0}'],
    ['colours/red', '{}'],
    ['zones/east', 'not JSON'],
  ]);
  const faults = errorOf(fromDocument({ ...document, version: 0, entries }));
  const found = faults.map(({ code, place }) => `${code} ${place}`);
  assert.deepEqual(found, [
    'fieldUnknown colours/red',
    'valueInvalid digest',
    'valueInvalid revision',
    'valueInvalid zones/east',
    'fieldMissing accounts/mill.key_hashes',
    'fieldMissing accounts/mill.rate_per_second',
    'valueInvalid accounts/mill.burst',
    'fieldMissing accounts/mill.services',
  ]);
});
