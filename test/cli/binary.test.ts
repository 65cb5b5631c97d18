import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { tmpdir } from 'node:os';
import { resolve } from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { VERSION } from '../../src/cli/version.js';

const execute = promisify(execFile);

test('the binary runs outside the repository', async () => {
  // Guards against a binary that resolves modules relative to the repository.
  await execute(process.execPath, ['scripts/build.mjs', '--binary']);
  const binary = resolve('dist/almondhoist');
  const { stdout } = await execute(binary, ['--version'], { cwd: tmpdir(), env: {} });
  assert.equal(stdout, `${VERSION}\n`);
  await assert.rejects(execute(binary, ['chek'], { cwd: tmpdir() }), { code: 2 });
});
