import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import * as entryFields from '../../../src/core/configuration/entry-fields.js';
import { settingsSections, tlsFields } from '../../../src/core/settings/parse-settings.js';

test('the reference page names every field of the set and of the settings', async () => {
  // Guards against a field that is missing from the reference page.
  const page = await readFile('docs/configuration.md', 'utf8');
  const { zoneFields, backendServerFields, accountFields, routeFields } = entryFields;
  const fields = { ...zoneFields, ...backendServerFields, ...accountFields, ...routeFields };
  const missing = Object.keys(fields).filter((name) => !page.includes(`| \`${name}\``));
  const settings = Object.entries({ ...settingsSections, tls: tlsFields }).flatMap(
    ([section, names]) => Object.keys(names).map((name) => `\`[${section}]\` \`${name}\``),
  );
  assert.deepEqual([...missing, ...settings.filter((name) => !page.includes(name))], []);
});
