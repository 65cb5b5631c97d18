// Generates the table in docs/result-codes.md from the registry; run `npm run compile` first.
import { readFile, writeFile } from 'node:fs/promises';
// Imported dynamically because the registry exists only after the compilation.
const registry = new URL('../dist/js/src/core/errors/registry.js', import.meta.url);
const { resultCodes } = await import(registry.href);

const PAGE = 'docs/result-codes.md';
const HEADING = '## Codes';

const rows = Object.entries(resultCodes).map(([name, code]) => {
  const { number, title, message, httpStatus, hint } = code;
  return `| ${[number, `\`${name}\``, title, message, httpStatus ?? '', hint].join(' | ')} |`;
});
const table = [
  '| number | name | title | message | HTTP status | hint |',
  '| --- | --- | --- | --- | --- | --- |',
  ...rows,
].join('\n');
const page = await readFile(PAGE, 'utf8');
const [before, after] = page.split(HEADING);
const next = after.slice(after.indexOf('\n## ') + 1);
const rest = after.includes('\n## ') ? `\n${next}` : '';
await writeFile(PAGE, `${before}${HEADING}\n\n${table}\n${rest}`);
