import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { exitCodes } from '../../../src/cli/exit-code.js';
import { resultCodes, type ResultCode } from '../../../src/core/errors/registry.js';

/** Cells of the table rows below a heading. */
async function readTableRows(heading: string): Promise<readonly (readonly string[])[]> {
  const page = await readFile('docs/result-codes.md', 'utf8');
  const section = page.split(/^## /m).find((text) => text.startsWith(heading)) ?? '';
  const cells = section
    .split('\n')
    .filter((line) => line.startsWith('|'))
    .map((line) =>
      line
        .split(/(?<!\\)\|/)
        .slice(1, -1)
        .map((cell) => cell.trim()),
    );
  return cells.slice(2);
}

test('the page lists every result code exactly as the registry has it', async () => {
  // Guards against a page that tells callers and operators another meaning than the program.
  const registered = Object.entries<ResultCode>(resultCodes).map(([name, code]) => [
    String(code.number),
    `\`${name}\``,
    code.title,
    code.message,
    String(code.httpStatus ?? ''),
    code.hint,
  ]);
  assert.deepEqual(await readTableRows('Codes'), registered);
});

test('every result code has a number of its own', () => {
  // Guards against one number on the page that means two things.
  const numbers = Object.values<ResultCode>(resultCodes).map(({ number }) => number);
  assert.equal(new Set(numbers).size, numbers.length);
});

test('the page lists every exit code', async () => {
  // Guards against scripts that are written for exit codes that do not exist.
  const listed = (await readTableRows('Exit codes')).map(([number, name]) => [number, name]);
  const defined = Object.entries(exitCodes).map(([name, code]) => [String(code), `\`${name}\``]);
  assert.deepEqual(listed, defined);
});
