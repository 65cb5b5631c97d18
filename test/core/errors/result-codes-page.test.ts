import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { exitCodes } from '../../../src/cli/exit-code.js';
import { resultCodes, type ResultCode } from '../../../src/core/errors/registry.js';

/** Reads the cells of the table rows below a heading of the page, without the header row. */
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

test('the page lists every result code with the texts of the registry', async () => {
  // Guards against documentation that differs from what callers and operators receive.
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

test('every result code has a unique number', () => {
  // Guards against one number that stands for two result codes.
  const numbers = Object.values<ResultCode>(resultCodes).map(({ number }) => number);
  assert.equal(new Set(numbers).size, numbers.length);
});

test('the page lists every exit code', async () => {
  // Guards against scripts that check for exit codes that the program does not use.
  const listed = (await readTableRows('Exit codes')).map(([number, name]) => [number, name]);
  const defined = Object.entries(exitCodes).map(([name, code]) => [String(code), `\`${name}\``]);
  assert.deepEqual(listed, defined);
});
