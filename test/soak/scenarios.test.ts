import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { playScenario, readScenario } from '../../soak/scenario.js';

const DIRECTORY = 'scenarios';
const files = (await readdir(DIRECTORY)).filter((name) => name.endsWith('.toml'));

// Each scenario guards against the failure that its title names.
for (const file of files) {
  const scenario = readScenario(await readFile(`${DIRECTORY}/${file}`, 'utf8'));
  const title = scenario.map((read) => read.title).unwrapOr('not readable');
  const todo = scenario.map((read) => read.known_red ?? false).unwrapOr(false);
  test(`scenario ${file}: ${title}`, { todo }, async () => {
    const failures = await scenario.match(playScenario, async (reason) => [reason]);
    assert.deepEqual(failures, []);
  });
}

// Guards against events with a misspelt kind, which would be left out in silence.
test('a scenario with an unknown event is refused', () => {
  const text = `title = "x"\ncovers = []\nexpect = []\n[[events]]\nat_ms = 1\nkind = "pauze"\n`;
  assert.equal(readScenario(text).isErr(), true);
});
