import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Fault } from '../../src/core/errors/fault.js';
import type { Publication } from '../../src/core/publications/publication.js';
import { httpDialect } from '../../platform/http-dialect.js';
import { decodeValue } from '../../platform/published-values.js';
import { parsePlatformSettings } from '../../platform/settings.js';
import { formatSettingsFile } from '../../standin/platform-settings.js';
import { valueOf } from '../results.js';
import { POLICY } from '../sidecar/fleet.js';

const SETTINGS = formatSettingsFile({
  node: 'n',
  ip: '10.0.0.1',
  zone: 'a',
  service: 'stock',
  backend: '10.0.0.1:80',
  store: '10.0.0.9:4',
  callerPort: 2,
  peerPort: 1,
  readyPort: 3,
});

function faultsOf(text: string): readonly Fault[] {
  return parsePlatformSettings(text, 'file').match(
    () => [],
    (faults) => faults,
  );
}

test('platform settings are parsed and unknown fields are ignored', () => {
  // Guards against a node that fails to start when the platform adds a field.
  const settings = valueOf(parsePlatformSettings(SETTINGS, 'file'));
  assert.equal(settings.stopDeadlineMs, 6000);
  assert.deepEqual(settings.storeAddress, { host: '10.0.0.9', port: 4 });
  assert.deepEqual(settings.seeds, []);
});

test('settings with missing fields, wrong types or bad addresses are rejected with all faults', () => {
  // Guards against a node that runs with incomplete settings.
  const broken = SETTINGS.replace('ip = "10.0.0.1"', 'ip = 4');
  const faults = faultsOf(broken);
  assert.match(JSON.stringify(faults), /"ip\\?"/);
  assert.match(JSON.stringify(faultsOf(SETTINGS.replace('grace = "6s"', ''))), /grace/);
  const address = SETTINGS.replace('10.0.0.9:4', 'store').replace('10.0.0.1:80', 'app');
  assert.equal(faultsOf(address).length, 2);
});

test('a published value that cannot be decoded is reported and decoded to null', () => {
  // Guards against one malformed entry that makes the others unusable.
  const reported: string[] = [];
  const read = (publication: Publication) =>
    decodeValue(publication, (_code, { key }) => reported.push(String(key)));
  const values = ['{', '{}', '{"address":"a","info":{"service":1},"status":{}}', 'null'];
  values.forEach((text, at) => {
    assert.equal(read({ key: `servers/${at}`, revision: 1, text }), null);
  });
  assert.equal(reported.length, values.length);
  assert.equal(
    read({ key: 'op/config', revision: 1, text: JSON.stringify(POLICY) })?.kind,
    'policy',
  );
  assert.deepEqual(read({ key: 'op/evacuate/a', revision: 1, text: '{}' }), {
    kind: 'zone-out',
    zone: 'a',
  });
  assert.equal(read({ key: 'other/key', revision: 1, text: '{}' }), null);
});

const DEPTH = 200_000;
const DEEP = `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`;
const ENTRY = JSON.stringify({
  address: '10.0.0.1:80',
  born: 1,
  info: { service: 'stock', zone: 'a', slots: 3 },
  status: { state: 'ready', warmupLeft: '0ms' },
});

const ODD_ENTRIES: Readonly<Record<string, string>> = {
  'nested too deeply': DEEP,
  'with a deeply nested address': ENTRY.replace('"10.0.0.1:80"', DEEP),
  'with deeply nested details': ENTRY.replace('{"service":"stock","zone":"a","slots":3}', DEEP),
  'with more slots than a number holds': ENTRY.replace('"slots":3', '"slots":1e999'),
  'with negative slots': ENTRY.replace('"slots":3', '"slots":-3'),
  'with a start that a number does not hold': ENTRY.replace('"born":1', '"born":1e400'),
  'with a warm-up that a number does not hold': ENTRY.replace('0ms', `${'9'.repeat(400)}s`),
  'with a port out of range': ENTRY.replace(':80', ':99999'),
  'with port 0': ENTRY.replace(':80', ':0'),
  'without a port': ENTRY.replace(':80', ''),
  'with a name for an address': ENTRY.replace('10.0.0.1', 'a b'),
};

for (const [name, text] of Object.entries(ODD_ENTRIES)) {
  test(`an entry ${name} is reported briefly and names no backend server`, () => {
    // Guards against one odd entry of another writer that ends the node or stops its directory.
    const reasons: string[] = [];
    const decoded = decodeValue({ key: 'servers/odd', revision: 1, text }, (_code, { reason }) =>
      reasons.push(String(reason)),
    );
    assert.equal(decoded, null);
    assert.equal(reasons.length, 1);
    assert.ok(reasons.every(({ length }) => length <= 300));
  });
}

test('forged headers, the API key and hop-by-hop headers of a request are not forwarded', () => {
  // Guards against a caller that impersonates another account or service.
  const head = httpDialect.readRequest({
    method: 'GET',
    target: '/x/1',
    rawHeaders: [
      'Host',
      'h',
      'Attempt-Id',
      'a',
      'Tenant-Id',
      'forged',
      'Caller-Service',
      'forged',
      'Authorization',
      'Bearer k',
      'Connection',
      'close, X-Hop',
      'X-Hop',
      '1',
      'X-Kept',
      '2',
      'Timeout-Ms',
      '500',
      'Target-Instance',
      'i-9',
    ],
  });
  assert.equal(head.requestId, 'a');
  assert.equal(head.key, 'k');
  assert.equal(head.callerTimeoutMs, 500);
  assert.deepEqual(head.headers, [
    ['host', 'h'],
    ['x-kept', '2'],
  ]);
});

test('the limit that a backend server states is decoded', () => {
  // Guards against a limit that is ignored, or taken for another number, because of its spelling.
  const limitOf = (text: string) =>
    httpDialect.readAnswer(200, { 'server-limit': text }).notice.limit;
  assert.deepEqual(limitOf('29.8'), { kind: 'rate', ratePerSecond: 29.8 });
  assert.deepEqual(limitOf('0'), { kind: 'rate', ratePerSecond: 0 });
  ['', '-1', 'NaN', '1e999', '1e3', '0x10', '5, 7', '9'.repeat(400)].forEach((text) => {
    assert.equal(limitOf(text).kind, 'unreadable', text);
  });
  assert.deepEqual(httpDialect.readAnswer(200, {}).notice.limit, { kind: 'none' });
  const health = httpDialect.readHealth(200, { 'server-limit': '3' });
  assert.deepEqual(health.notice.limit, { kind: 'rate', ratePerSecond: 3 });
});
