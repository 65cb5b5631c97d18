import assert from 'node:assert/strict';
import { mkdtemp, readdir, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { run } from '../../src/cli/run.js';
import { VERSION } from '../../src/cli/version.js';
import { readBundle } from '../../src/core/configuration/bundle.js';
import { valueOf } from '../results.js';
import { hashKey } from '../../src/core/configuration/key-hash.js';

const directory = await mkdtemp(join(tmpdir(), 'almondhoist-cli-'));
after(() => rm(directory, { recursive: true }));

async function runWith(args: readonly string[], input = '') {
  const printed: string[] = [];
  const errors: string[] = [];
  const code = await run(args, {
    print: (text) => printed.push(text),
    printError: (text) => errors.push(text),
    readInput: () => Promise.resolve(input),
  });
  return { code, printed, errors };
}

test('bad input prints every fault, exits with 3 and writes nothing', async () => {
  // Guards against a faulty set that reaches the configuration service.
  const out = join(directory, 'bad');
  const checked = await runWith(['check', 'test/fixtures/disagreeing-set']);
  const bundled = await runWith(['bundle', 'test/fixtures/disagreeing-set', '--out', out]);
  assert.deepEqual([checked.code, bundled.code], [3, 3]);
  assert.equal(checked.errors.at(-1), '26 faults');
  assert.deepEqual(bundled.errors, checked.errors);
  await assert.rejects(readdir(out), { code: 'ENOENT' });
  assert.equal((await runWith(['check', join(directory, 'absent')])).code, 3);
  assert.equal((await runWith(['check', directory])).code, 3);
});

test('a written bundle opens again', async () => {
  // Guards against file names that do not match the digests in the manifest.
  const out = join(directory, 'good');
  assert.equal((await runWith(['bundle', 'examples/co-op', '--out', out])).code, 0);
  assert.deepEqual((await readdir(out)).sort(), ['manifest.json', 'parts']);
  const parts = await Promise.all(
    (await readdir(join(out, 'parts'))).map(async (name): Promise<[string, string]> => [
      name.replace('.json', ''),
      await readFile(join(out, 'parts', name), 'utf8'),
    ]),
  );
  const manifest = await readFile(join(out, 'manifest.json'), 'utf8');
  assert.equal(valueOf(readBundle(manifest, new Map(parts))).topic, 'configuration');
  const blocked = await runWith(['bundle', 'examples/co-op', '--out', join(out, 'manifest.json')]);
  assert.deepEqual([blocked.code, blocked.errors.length], [1, 2]);
});

test('diff and check print to the standard output and exit with 0', async () => {
  // Guards against a pipeline that takes a valid set for a faulty one.
  const diff = await runWith(['diff', 'test/fixtures/older-set', 'test/fixtures/newer-set']);
  assert.deepEqual([diff.code, diff.printed.length, diff.errors], [0, 9, []]);
  assert.equal((await runWith(['check', 'examples/kelpie'])).code, 0);
});

test('hash-key prints the hash of a long key and refuses a short one', async () => {
  // Guards against published hashes of keys that can be guessed, and against a hashed line end.
  const key = 'k'.repeat(24);
  assert.deepEqual((await runWith(['hash-key'], `${key}\n`)).printed, [hashKey(key)]);
  assert.equal((await runWith(['hash-key'], `${key.slice(1)}\n`)).code, 3);
  assert.equal((await runWith(['hash-key'], `${key} ${key}`)).code, 3);
  const [keyLine = '', hashLine = ''] = (await runWith(['hash-key', '--generate'])).printed;
  const generated = /^key: {2}(ah_[\w-]{32})$/.exec(keyLine)?.[1] ?? '';
  assert.equal(hashLine, `hash: ${hashKey(generated)}`);
});

test('explain reads files or the standard input and exits with 3 for an unknown request', async () => {
  // Guards against scripts that take a missing request for an explained one.
  const file = 'test/fixtures/explain/planner-1.log';
  const fromFile = await runWith(['explain', 'planner-1-aa-2', file]);
  const fromInput = await runWith(['explain', 'planner-1-aa-2'], await readFile(file, 'utf8'));
  assert.deepEqual([fromFile.code, fromInput.code], [0, 0]);
  assert.deepEqual(fromFile.printed, fromInput.printed);
  assert.match(fromFile.printed.at(-1) ?? '', /^2 lines skipped/);
  const unknown = await runWith(['explain', 'planner-1-aa-9', file]);
  assert.deepEqual([unknown.code, unknown.printed], [3, []]);
  assert.match(unknown.errors[0] ?? '', /\[1012\] no line is about request planner-1-aa-9;/);
  assert.equal((await runWith(['explain', 'planner-1-aa-2', join(directory, 'absent')])).code, 3);
});

test('wrong usage exits with 2, help and version with 0', async () => {
  // Guards against scripts that take a misspelt command for success.
  const cases = [[], ['chek'], ['check'], ['bundle', 'examples/co-op'], ['check', 'a', '--no']];
  const codes = await Promise.all(cases.map(async (args) => (await runWith(args)).code));
  assert.deepEqual(codes, [2, 2, 2, 2, 2]);
  const version = await runWith(['--version']);
  assert.deepEqual([version.code, version.printed], [0, [VERSION]]);
  const manifest = JSON.parse(await readFile('package.json', 'utf8')) as { version: string };
  assert.equal(VERSION, manifest.version);
  assert.equal((await runWith(['--help'])).code, 0);
});
