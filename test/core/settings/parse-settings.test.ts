import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../../../src/core/settings/parse-settings.js';
import { errorOf, valueOf } from '../../results.js';
import { formatFault } from '../../../src/core/errors/fault.js';

const SECRET = 's'.repeat(32);
const MINIMAL = `
[node]
backend_server = "stock-1"
zone = "east"
[listen]
caller = "127.0.0.1:8080"
peer = "[::1]:8081"
[backend_server]
url = "http://127.0.0.1:7000/"
[configuration_service]
urls = ["http://127.0.0.1:2379"]
[fleet]
peer_secret = "${SECRET}"
`;

test('omitted settings get the documented defaults', () => {
  // Guards against defaults that differ from the design page.
  assert.deepEqual(valueOf(parseSettings(MINIMAL, 'node.toml')), {
    backendServer: 'stock-1',
    zone: 'east',
    callerAddress: { host: '127.0.0.1', port: 8080 },
    peerAddress: { host: '::1', port: 8081 },
    metricsAddress: null,
    backendServerUrl: 'http://127.0.0.1:7000',
    configurationServiceUrls: ['http://127.0.0.1:2379'],
    peerSecret: SECRET,
    seeds: [],
    maxBodyBytes: 1_048_576,
    stopDeadlineMs: 30_000,
    isolationLimitMs: 5000,
    staleLimitMs: 0,
    tls: null,
  });
});

test('all faults of the settings are reported at once, without the secret', () => {
  // Guards against reporting only the first fault, and against a secret in the log.
  const text = `
colour = "green"
[listen]
caller = "localhost:8080"
peer = "10.0.0.256:80"
metrics = "10.0.0.1:70000"
[backend_server]
url = "http://127.0.0.1:7000/path"
[configuration_service]
urls = []
[fleet]
peer_secret = "too-short-to-be-safe"
[limits]
stop_deadline_ms = "30s"
stop_deadline = 3
[tls]
key_file = ""
`;
  const faults = errorOf(parseSettings(text, 'node.toml'));
  assert.deepEqual(
    faults.map(({ code, place }) => `${code} ${place}`),
    [
      'fieldUnknown colour',
      'fieldMissing node.backend_server',
      'fieldMissing node.zone',
      'valueInvalid listen.caller',
      'valueInvalid listen.peer',
      'valueInvalid listen.metrics',
      'valueInvalid backend_server.url',
      'valueInvalid configuration_service.urls',
      'valueInvalid fleet.peer_secret',
      'fieldUnknown limits.stop_deadline',
      'valueInvalid limits.stop_deadline_ms',
      'fieldMissing tls.certificate_file',
      'valueInvalid tls.key_file',
      'fieldMissing tls.authority_file',
    ],
  );
  assert.ok(faults.every((fault) => !formatFault(fault).includes('too-short')));
});

test('listeners with the same address and a node as its own backend server are refused', () => {
  // Guards against a node that forwards a request to itself in an endless loop.
  const text = MINIMAL.replace('[::1]:8081', '127.0.0.1:8080').replace('7000/', '8080');
  const faults = errorOf(parseSettings(text, 'node.toml'));
  assert.deepEqual(
    faults.map(({ place }) => place),
    ['listen.peer', 'backend_server.url'],
  );
});
