import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { runScenario, readScenario } from '../../soak/scenario.js';

const DIRECTORY = 'scenarios';
const files = (await readdir(DIRECTORY)).filter((name) => name.endsWith('.toml'));

async function runFile(file: string): Promise<readonly string[]> {
  const scenario = readScenario(await readFile(`${DIRECTORY}/${file}`, 'utf8'));
  return scenario.match(runScenario, async (reason) => [reason]);
}

// Each scenario guards against the failure of the case in its title.
for (const file of files) {
  const scenario = readScenario(await readFile(`${DIRECTORY}/${file}`, 'utf8'));
  const title = scenario.map((read) => read.title).unwrapOr('invalid scenario');
  const knownRed = scenario.map((read) => read.known_red ?? null).unwrapOr(null);
  // The scenarios run one after the other, because each replaces the global timer functions.
  let failures: readonly string[] = [];
  test(`scenario ${file}: ${title}`, { todo: knownRed ?? false }, async () => {
    failures = await runFile(file);
    assert.deepEqual(failures, []);
  });
  if (knownRed !== null) {
    // Guards against an entry of KNOWN-RED.txt that remains after its fault is fixed.
    test(`scenario ${file} is still red, as KNOWN-RED.txt lists it`, () => {
      assert.notDeepEqual(failures, [], 'the scenario passes: remove its entry and known_red');
    });
  }
}

// Guards against ignoring events with a misspelt kind.
test('a scenario with an unknown event is refused', () => {
  const text = `title = "x"\ncovers = []\nexpect = []\n[[events]]\nat_ms = 1\nkind = "pauze"\n`;
  assert.equal(readScenario(text).isErr(), true);
});
