import assert from 'node:assert/strict';
import { test } from 'node:test';
import { loadConfiguration } from '../../../src/core/configuration/load-configuration.js';
import { formatFault } from '../../../src/core/errors/fault.js';
import { errorOf } from '../../results.js';
import { loadSet, readSet } from './sets.js';

test('all faults of a set are reported at once with file and path', async () => {
  // Guards against a check that stops at the first fault, so that operators need many attempts.
  const faults = errorOf(loadConfiguration(await readSet('test/fixtures/disagreeing-set')));
  const found = faults.map(({ code, source, place }) => `${code} ${source} ${place}`);
  assert.deepEqual([...found].sort(), [
    'fieldMissing two.toml routes.Upper.idempotent',
    'fieldMissing two.toml routes.undecided.idempotent',
    'fieldUnknown one.toml accounts.mill.deadline',
    'fieldUnknown one.toml colour',
    'nameDuplicate one.toml accounts.forge.services',
    'nameDuplicate one.toml seats',
    'nameDuplicate two.toml revision',
    'nameDuplicate two.toml zones.east',
    'referenceUnknown one.toml accounts.forge.services',
    'referenceUnknown one.toml accounts.mill.services',
    'referenceUnknown one.toml backend_servers.stock-1.zone',
    'referenceUnknown one.toml seats',
    'setInconsistent one.toml accounts.forge.key_hashes',
    'setInconsistent one.toml accounts.kiln.key_hashes',
    'setInconsistent one.toml backend_servers.stock-1.cold_capacity',
    'setInconsistent one.toml backend_servers.stock-1.connections',
    'setInconsistent one.toml services.almondhoist',
    'setInconsistent two.toml routes.second.path',
    'setInconsistent two.toml routes.unserved.service',
    'valueInvalid one.toml accounts.mill.burst',
    'valueInvalid one.toml accounts.pasted.key_hashes',
    'valueInvalid one.toml accounts.pasted.rate_per_second',
    'valueInvalid one.toml revision',
    'valueInvalid two.toml routes.Upper',
    'valueInvalid two.toml routes.undecided.deadline_ms',
    'valueInvalid two.toml routes.undecided.path',
  ]);
  // Guards against a secret key that an operator pasted and that a build log then contains.
  assert.ok(faults.every((fault) => !formatFault(fault).includes('ah_a-key')));
});

test('malformed TOML is reported with its line, together with faults of other files', () => {
  // Guards against a check that stops at the first file.
  const files = new Map([
    ['bad.toml', 'revision = 1\nseats = [\n[zones.a]\n'],
    ['other.toml', 'zones = 3\n'],
  ]);
  const found = errorOf(loadConfiguration(files)).map(
    ({ code, source, place }) => `${code} ${source} ${place}`,
  );
  assert.equal(found.length, 2);
  assert.match(found[0] ?? '', /^tomlMalformed bad\.toml line 3, column/);
  assert.equal(found[1], 'valueInvalid other.toml zones');
});

test('a set whose availability zones are all out is refused', async () => {
  // Guards against a set that takes every backend server out of service at once.
  const files = [...(await readSet('test/fixtures/newer-set'))].map(
    ([name, text]) => [name, text.replace('[zones.west]', '[zones.west]\nstate = "out"')] as const,
  );
  const faults = errorOf(loadConfiguration(new Map(files)));
  assert.deepEqual(
    faults.map(({ code, place }) => [code, place]),
    [['setInconsistent', 'zones.east.state']],
  );
});

test('omitted fields get the documented defaults', async () => {
  // Guards against a default that makes a request run twice or opens a route to everyone.
  const { zones, accounts, routes } = await loadSet('test/fixtures/older-set');
  assert.equal(zones[0]?.state, 'in');
  assert.equal(accounts[0]?.weight, 1);
  const [{ importance, access, retries } = { importance: '', access: '', retries: 0 }] = routes;
  assert.deepEqual(
    { importance, access, retries },
    { importance: 'normal', access: 'keyed', retries: 2 },
  );
  const safeRoutes = (await loadSet('examples/kelpie')).routes.filter(
    ({ method }) => method === 'GET',
  );
  assert.ok(safeRoutes.length > 0 && safeRoutes.every(({ idempotent }) => idempotent));
});

test('the example sets have the sizes of the design page', async () => {
  // Guards against example sets that no longer match the deployments on the design page.
  const sizes = async (directory: string) => {
    const { zones, backendServers, accounts } = await loadSet(directory);
    const servers = backendServers.map(
      ({ service, slots, connections }) => `${service} ${slots} ${connections}`,
    );
    const counts = [...new Set(servers)].map(
      (server) => `${servers.filter((other) => other === server).length} ${server}`,
    );
    return [zones.length, accounts.length, ...counts.sort()];
  };
  assert.deepEqual(await sizes('examples/kelpie'), [
    4,
    8,
    '4 dispatch 20 230',
    '4 orderdesk 160 1000',
    '4 planner 160 1000',
    '5 stockroom 130 850',
  ]);
  assert.deepEqual(await sizes('examples/co-op'), [
    3,
    8,
    '3 caixa 120 830',
    '3 frota 30 260',
    '3 guia 120 830',
    '5 balcao 70 530',
  ]);
});
