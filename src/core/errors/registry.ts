/** Values that complete the message of a code. */
export type Details = Readonly<Record<string, string | number>>;

/** A numbered result code. The page `docs/result-codes.md` is checked against this registry. */
export interface ResultCode {
  readonly number: number;
  readonly title: string;
  /** Text with `{name}` placeholders, filled from the details. */
  readonly message: string;
  /** What to do next. */
  readonly hint: string;
  /** HTTP status towards callers; only codes of requests have one. */
  readonly httpStatus?: number;
}

/**
 * The one registry of result codes. 1xxx: settings, file sets, command line. 2xxx: refused,
 * certainly not run. 3xxx: may have run. 4xxx: peers and platform. 5xxx: reasons of routing
 * and placement decisions. 9xxx: broken promises.
 */
export const resultCodes = {
  ok: {
    number: 0,
    title: 'Success',
    message: 'the request was answered',
    hint: 'Nothing to do.',
    httpStatus: 200,
  },
  fileUnreadable: {
    number: 1001,
    title: 'File cannot be read',
    message: 'cannot read {file}: {reason}',
    hint: 'Check the path and the permissions.',
  },
  tomlMalformed: {
    number: 1002,
    title: 'Malformed TOML',
    message: 'not valid TOML: {reason}',
    hint: 'Correct the line that the message names.',
  },
  fieldUnknown: {
    number: 1003,
    title: 'Unknown field',
    message: 'unknown field; expected one of: {expected}',
    hint: 'Remove the field or correct its name.',
  },
  fieldMissing: {
    number: 1004,
    title: 'Missing field',
    message: 'missing; expected {expected}',
    hint: 'Add the field.',
  },
  valueInvalid: {
    number: 1005,
    title: 'Invalid value',
    message: 'found {found}; expected {expected}',
    hint: 'Correct the value and mind its unit.',
  },
  referenceUnknown: {
    number: 1006,
    title: 'Unknown reference',
    message: '{found} is not defined; expected the name of {expected}',
    hint: 'Define it in the file set or correct the name.',
  },
  nameDuplicate: {
    number: 1007,
    title: 'Duplicate name',
    message: '{found} is defined more than once',
    hint: 'Names must be unique in a file set; rename or remove one.',
  },
  valueTooLarge: {
    number: 1008,
    title: 'Published value too large',
    message: '{found} bytes; expected at most {expected} bytes',
    hint: 'Shorten the largest entry; one entry must fit into one published value.',
  },
  setInconsistent: {
    number: 1009,
    title: 'Parts of the file set disagree',
    message: '{reason}',
    hint: 'Change the parts that the message names so that they agree.',
  },
  keyTooShort: {
    number: 1010,
    title: 'Key too short',
    message: 'the key has {found} characters; expected at least {expected}',
    hint: 'Use `almondhoist hash-key --generate` to make one.',
  },
  outputFailed: {
    number: 1011,
    title: 'Output cannot be written',
    message: 'cannot write {file}: {reason}',
    hint: 'Check the path and the free space.',
  },
  requestNotLogged: {
    number: 1012,
    title: 'Request not in the log',
    message:
      'no line is about request {request}; {read} lines were read and {skipped} others skipped',
    hint: 'Check the identifier (header almondhoist-request-id) and give the logs of all nodes.',
  },
  addressInUse: {
    number: 1101,
    title: 'Address cannot be used',
    message: 'cannot listen on {address}: {reason}',
    hint: 'Stop the other process or choose another address in the settings.',
  },
  noRoute: {
    number: 2001,
    title: 'No such route',
    message: 'no route matches the method and path',
    hint: 'Check the path; operators add routes to the file set.',
    httpStatus: 404,
  },
  keyMissing: {
    number: 2002,
    title: 'Key missing',
    message: 'the route needs a key',
    hint: 'Send the key as `authorization: Bearer KEY`.',
    httpStatus: 401,
  },
  keyUnknown: {
    number: 2003,
    title: 'Key not accepted',
    message: 'the key is unknown or withdrawn',
    hint: 'Ask the operators for a new key.',
    httpStatus: 401,
  },
  serviceForbidden: {
    number: 2004,
    title: 'Service not permitted',
    message: 'the client account may not call this service',
    hint: 'Operators list the services of an account in the file set.',
    httpStatus: 403,
  },
  keyMisplaced: {
    number: 2005,
    title: 'Key in path or body',
    message: 'the key stands in the path or the body of the request',
    hint: 'Send the key only as `authorization: Bearer KEY`.',
    httpStatus: 400,
  },
  requestTooLarge: {
    number: 2006,
    title: 'Request too large',
    message: 'the headers or the body of the request are too large',
    hint: 'Send a smaller request; the limit is the setting max_body_bytes.',
    httpStatus: 413,
  },
  requestMalformed: {
    number: 2007,
    title: 'Malformed request',
    message: 'the request cannot be read',
    hint: 'Check the request against docs/protocol.md.',
    httpStatus: 400,
  },
  contextInvalid: {
    number: 2008,
    title: 'Context not valid',
    message: 'the almondhoist-context header is not known to this node',
    hint: 'Pass the header on untouched and call through the node beside the backend server.',
    httpStatus: 403,
  },
  rateExceeded: {
    number: 2101,
    title: 'Rate exceeded',
    message: 'the client account has used its rate and burst',
    hint: 'Wait for the time in retry-after.',
    httpStatus: 429,
  },
  callerRetriesExceeded: {
    number: 2102,
    title: 'Too many repeated requests',
    message: 'the client account repeats failed requests too often',
    hint: 'Back off before repeating; at most 20% of the requests may be repeats.',
    httpStatus: 429,
  },
  overloadedEarly: {
    number: 2103,
    title: 'Service overloaded, refused at the entry',
    message: 'a service on the path of the request is overloaded',
    hint: 'Wait for the time in retry-after.',
    httpStatus: 503,
  },
  overloaded: {
    number: 2104,
    title: 'Backend server overloaded, refused at the gate',
    message: 'the backend server takes no more requests of this importance',
    hint: 'Wait for the time in retry-after.',
    httpStatus: 503,
  },
  deadlineUnreachable: {
    number: 2105,
    title: 'Deadline cannot be met',
    message: 'the request would be answered too late',
    hint: 'Allow more time or call less.',
    httpStatus: 503,
  },
  serverShed: {
    number: 2106,
    title: 'Shed by the backend server',
    message: 'the backend server refused the request without running it',
    hint: 'Wait for the time in retry-after.',
    httpStatus: 503,
  },
  noBackendServer: {
    number: 2107,
    title: 'No backend server',
    message: 'no backend server of the service takes work now',
    hint: 'See `almondhoist explain` for the candidates that were considered.',
    httpStatus: 503,
  },
  connectFailed: {
    number: 2108,
    title: 'Backend server not reachable',
    message: 'no connection to the backend server could be opened',
    hint: 'Check the backend server.',
    httpStatus: 503,
  },
  nodeLeaving: {
    number: 2109,
    title: 'Node is stopping',
    message: 'the node or its backend server is leaving',
    hint: 'Call another node.',
    httpStatus: 503,
  },
  zoneOut: {
    number: 2110,
    title: 'Availability zone is out',
    message: 'the availability zone of the backend server takes no new work',
    hint: 'Call a node of another availability zone.',
    httpStatus: 503,
  },
  retryBudgetSpent: {
    number: 2111,
    title: 'Retry budget spent',
    message: 'the call tree of the root request has no retries left',
    hint: 'Do not repeat the call inside the same request.',
    httpStatus: 503,
  },
  quarantined: {
    number: 2112,
    title: 'Request is quarantined',
    message: 'equal requests crashed backend servers',
    hint: 'Do not repeat the request; operators find it in the log by its fingerprint.',
    httpStatus: 503,
  },
  isolated: {
    number: 2113,
    title: 'Node is isolated',
    message: 'the node reaches neither the configuration service nor any other node',
    hint: 'Call another node.',
    httpStatus: 503,
  },
  notReady: {
    number: 2114,
    title: 'Node is not ready',
    message: 'the node has no configuration yet',
    hint: 'Try again shortly; check the configuration service.',
    httpStatus: 503,
  },
  cancelled: {
    number: 2115,
    title: 'Cancelled before it ran',
    message: 'the caller cancelled the request before it ran',
    hint: 'Nothing to do.',
    httpStatus: 503,
  },
  instanceReplaced: {
    number: 2116,
    title: 'Backend server replaced',
    message: 'another run of the backend server, or another one, has the address now',
    hint: 'Nothing to do; the directory catches up within seconds.',
    httpStatus: 503,
  },
  orderIdMissing: {
    number: 2201,
    title: 'Order identifier missing',
    message: 'a non-idempotent request needs an order identifier',
    hint: 'Repeat the request with the identifier in almondhoist-order-id of this answer.',
    httpStatus: 428,
  },
  orderIdInvalid: {
    number: 2202,
    title: 'Order identifier not valid',
    message: 'the order identifier is forged, or belongs to another client account',
    hint: 'Ask for a fresh identifier with POST /almondhoist/orders.',
    httpStatus: 400,
  },
  orderMismatch: {
    number: 2203,
    title: 'Order identifier used for another request',
    message: 'the order identifier belongs to a request with other content',
    hint: 'Use one identifier for one request.',
    httpStatus: 422,
  },
  ordersFull: {
    number: 2204,
    title: 'Too many orders remembered',
    message: 'the node cannot remember another order',
    hint: 'Use another node, or wait until older orders expire.',
    httpStatus: 503,
  },
  deadlinePassed: {
    number: 3001,
    title: 'Deadline passed while running',
    message: 'no answer came before the deadline; the request may have run',
    hint: 'Repeat with the same order identifier to learn the outcome.',
    httpStatus: 504,
  },
  serverFailed: {
    number: 3002,
    title: 'Backend server failed while running',
    message: 'the connection to the backend server broke; the request may have run',
    hint: 'Repeat with the same order identifier to learn the outcome.',
    httpStatus: 502,
  },
  answerTruncated: {
    number: 3003,
    title: 'Answer cut short',
    message: 'the answer of the backend server was cut short; the request has run',
    hint: 'Repeat idempotent requests; do not repeat others.',
    httpStatus: 502,
  },
  answerTooLarge: {
    number: 3004,
    title: 'Answer too large',
    message: 'the answer of the backend server is larger than max_body_bytes',
    hint: 'Raise max_body_bytes in the settings of all nodes or send smaller answers.',
    httpStatus: 502,
  },
  linkLost: {
    number: 3005,
    title: 'Link to the gate lost',
    message: 'the link between two nodes broke; the request may have run',
    hint: 'Repeat with the same order identifier to learn the outcome.',
    httpStatus: 502,
  },
  orderUnknown: {
    number: 3006,
    title: 'Order outcome unknown',
    message: 'the node that remembered the order has restarted or its memory has expired',
    hint: 'Check with the service whether the order exists; it will not be run again.',
    httpStatus: 409,
  },
  cancelledRunning: {
    number: 3007,
    title: 'Cancelled while running',
    message: 'the caller cancelled the request while it ran',
    hint: 'Nothing to do.',
    httpStatus: 499,
  },
  serverCrashed: {
    number: 3008,
    title: 'Backend server crashed while running',
    message: 'the backend server crashed while the request ran',
    hint: 'Do not repeat a request that crashes backend servers.',
    httpStatus: 502,
  },
  orderAnswerDropped: {
    number: 3009,
    title: 'Answer to the order not kept',
    message: 'the order has run and was answered, but the answer was too large to keep',
    hint: 'Do not place the order again; ask the service for its result.',
    httpStatus: 409,
  },
  answerInvalid: {
    number: 3010,
    title: 'Answer not valid',
    message: 'the answer belongs to another request or is not signed; the request may have run',
    hint: 'Repeat idempotent requests; check others with the service.',
    httpStatus: 502,
  },
  internal: {
    number: 3999,
    title: 'Internal error',
    message: 'unexpected error: {reason}',
    hint: 'Report it with the log line.',
    httpStatus: 500,
  },
  peerFrameInvalid: {
    number: 4001,
    title: 'Peer frame not valid',
    message: 'a frame from {peer} cannot be read: {reason}',
    hint: 'Check that all nodes run compatible versions.',
  },
  peerUnproven: {
    number: 4002,
    title: 'Peer not proven',
    message: 'a peer at {address} could not prove that it belongs to the fleet',
    hint: 'Check peer_secret in the settings of both nodes.',
  },
  linkSilent: {
    number: 4003,
    title: 'Link silent',
    message: 'the link to {peer} was silent for too long and is replaced',
    hint: 'Look for a firewall or address translation that drops idle connections.',
  },
  serviceUnreachable: {
    number: 4101,
    title: 'Configuration service not reachable',
    message: 'cannot read the configuration service: {reason}',
    hint: 'Nodes go on with the last accepted configuration; restore the service.',
  },
  documentRejected: {
    number: 4102,
    title: 'Published value rejected',
    message: '{topic} version {version} was rejected: {reason}',
    hint: 'Run `almondhoist check` on the file set and publish a new revision.',
  },
  documentOlder: {
    number: 4103,
    title: 'Older revision ignored',
    message: '{topic} version {version} is older than the one in force',
    hint: 'The configuration service serves stale values; nothing reverts.',
  },
  documentApplied: {
    number: 4104,
    title: 'Revision applied',
    message: '{topic} version {version} is in force',
    hint: 'Nothing to do.',
  },
  nodeStarted: {
    number: 4105,
    title: 'Node started',
    message: 'listening for callers on port {caller}, for peers on port {peer}',
    hint: 'Nothing to do.',
  },
  nodeStopped: {
    number: 4106,
    title: 'Node stopped',
    message: 'stopped with {open} open requests',
    hint: 'Raise stop_deadline_ms if requests were open.',
  },
  storeLost: {
    number: 4201,
    title: 'Store not reachable',
    message: 'cannot read the published values: {reason}; revision {revision} stays in force',
    hint: 'Peers pass on what they read; look at the store and the way to it.',
  },
  storeRegained: {
    number: 4202,
    title: 'Store reachable again',
    message: 'published values are read again at revision {revision} after {lostMs} ms',
    hint: 'Nothing to do.',
  },
  publicationUnreadable: {
    number: 4203,
    title: 'Published value not readable',
    message: 'the value {key} cannot be read: {reason}',
    hint: 'Correct the writer of the value; it is treated as absent.',
  },
  policyApplied: {
    number: 4204,
    title: 'Policy in force',
    message: 'policy version {version} is in force, read at revision {revision}',
    hint: 'Nothing to do.',
  },
  directoryChanged: {
    number: 4205,
    title: 'Directory changed',
    message: '{serving} backend servers serve, {leaving} leave, zones out: {zonesOut}',
    hint: 'Nothing to do.',
  },
  peerLost: {
    number: 4206,
    title: 'Link to a peer lost',
    message: 'the link to {address} is lost: {reason}',
    hint: 'Nothing to do if the host was stopped; otherwise look at the network.',
  },
  backendCondition: {
    number: 4207,
    title: 'Backend server changed its condition',
    message: 'backend server {instance} is {condition}: {reason}',
    hint: 'Nothing to do; a cold one gets few requests, one that is down none.',
  },
  settingsReloaded: {
    number: 4208,
    title: 'Settings read again',
    message: 'the settings file was read again: {outcome}',
    hint: 'Correct the file when it was not accepted; the old settings stay in force.',
  },
  stopRequested: {
    number: 4209,
    title: 'Stop requested',
    message: 'stopping with {open} open requests',
    hint: 'Nothing to do.',
  },
  linesDropped: {
    number: 4210,
    title: 'Log lines left out',
    message: '{dropped} lines were left out in the last second to bound the log',
    hint: 'Counters on the metrics address are complete.',
  },
  accessClosed: {
    number: 4211,
    title: 'Gate closed or opened',
    message: 'the gate is {state}: {reason}',
    hint: 'Nothing to do; operators or the backend server asked for it.',
  },
  lapseHeld: {
    number: 4212,
    title: 'Removed entry kept for a moment',
    message:
      'the entry {key} was removed around an outage of the store and is kept for {holdMs} ms',
    hint: 'Nothing to do; it is dropped unless the backend server registers again.',
  },
  sourceChanged: {
    number: 4213,
    title: 'Source of the published values changed',
    message: 'published values come from {source} from revision {revision} on',
    hint: 'Nothing to do; a node whose reader is silent reads the store itself.',
  },
  chosenInZone: {
    number: 5001,
    title: 'Chosen in the own availability zone',
    message: 'the less loaded of two candidates in the own availability zone',
    hint: 'Nothing to do.',
  },
  chosenOnly: {
    number: 5002,
    title: 'Only candidate',
    message: 'one candidate was left',
    hint: 'Look why the others were left out.',
  },
  chosenSpill: {
    number: 5003,
    title: 'Spilled to another availability zone',
    message: 'the own availability zone was loaded or refused shortly before',
    hint: 'Add capacity to the availability zone if this lasts.',
  },
  chosenNoLocal: {
    number: 5004,
    title: 'No candidate in the own availability zone',
    message: 'a candidate of another availability zone was chosen',
    hint: 'Nothing to do while the zone is out.',
  },
  chosenHome: {
    number: 5005,
    title: 'Sent to the home of the order',
    message: 'the order identifier names this node',
    hint: 'Nothing to do.',
  },
  chosenRetry: {
    number: 5006,
    title: 'Sent again',
    message: 'the first gate refused without running the call',
    hint: 'Nothing to do.',
  },
  promiseBroken: {
    number: 9001,
    title: 'Promise broken',
    message: '{promise}: {detail}',
    hint: 'This is a defect of almondhoist; report it with the log.',
  },
} as const satisfies Readonly<Record<string, ResultCode>>;

/** Name of a result code. */
export type CodeName = keyof typeof resultCodes;

/**
 * Looks up a code.
 *
 * @param name - name of the code
 * @returns the registry entry
 */
export function getResultCode(name: CodeName): ResultCode {
  return resultCodes[name];
}

/**
 * Builds the message of a code from its details.
 *
 * @param name - name of the code
 * @param details - values for the placeholders
 * @returns the message
 */
export function formatCodeMessage(name: CodeName, details: Details = {}): string {
  return getResultCode(name).message.replace(/\{(\w+)\}/g, (placeholder, key: string) =>
    String(details[key] ?? placeholder),
  );
}
