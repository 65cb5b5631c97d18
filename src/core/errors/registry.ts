/** Values for the placeholders in the message of a result code. */
export type Details = Readonly<Record<string, string | number>>;

/** A numbered result code. A test compares `docs/result-codes.md` with this registry. */
export interface ResultCode {
  readonly number: number;
  readonly title: string;
  /** Text with `{name}` placeholders, filled from the details. */
  readonly message: string;
  /** What an operator or a caller can do about it. */
  readonly hint: string;
  /** HTTP status of the response to the caller; only codes about requests have one. */
  readonly httpStatus?: number;
}

/**
 * Registry of all result codes. 1xxx: settings, file sets and command line. 2xxx: the request was
 * refused and did not run. 3xxx: the request may have run. 4xxx: peers and platform. 5xxx: reasons
 * for routing and placement decisions. 9xxx: broken promises.
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
    message: 'the field is missing; expected {expected}',
    hint: 'Add the field.',
  },
  valueInvalid: {
    number: 1005,
    title: 'Invalid value',
    message: 'found {found}; expected {expected}',
    hint: 'Correct the value and check its unit.',
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
    message: 'the value has {found} bytes; expected at most {expected} bytes',
    hint: 'Shorten the largest entry; each entry must fit into one published value.',
  },
  setInconsistent: {
    number: 1009,
    title: 'Conflicting values',
    message: '{reason}',
    hint: 'Change the values that the message names so that they are consistent.',
  },
  keyTooShort: {
    number: 1010,
    title: 'Key too short',
    message: 'the key has {found} characters; expected at least {expected}',
    hint: 'Generate a key with `almondhoist hash-key --generate`.',
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
      'no log line about request {request}; {read} lines read, {skipped} other lines skipped',
    hint: 'Check the identifier (header almondhoist-request-id) and pass the logs of all nodes.',
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
    message: 'the route requires a key',
    hint: 'Send the key as `authorization: Bearer KEY`.',
    httpStatus: 401,
  },
  keyUnknown: {
    number: 2003,
    title: 'Key not accepted',
    message: 'the key is unknown or withdrawn',
    hint: 'Request a new key from the operators.',
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
    message: 'the key is in the path or the body of the request',
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
    message: 'the request cannot be parsed',
    hint: 'Check the request against docs/protocol.md.',
    httpStatus: 400,
  },
  contextInvalid: {
    number: 2008,
    title: 'Invalid call context',
    message: 'the almondhoist-context header does not belong to a request running on this node',
    hint: 'Forward the header unchanged and call through the node beside the backend server.',
    httpStatus: 403,
  },
  rateExceeded: {
    number: 2101,
    title: 'Rate exceeded',
    message: 'the client account has used up its rate and burst',
    hint: 'Wait for the time in retry-after.',
    httpStatus: 429,
  },
  callerRetriesExceeded: {
    number: 2102,
    title: 'Too many retries by the client account',
    message: 'the client account retries failed requests too often',
    hint: 'Back off before a retry; at most 20% of the requests may be retries.',
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
    message: 'the backend server accepts no more requests of this importance',
    hint: 'Wait for the time in retry-after.',
    httpStatus: 503,
  },
  deadlineUnreachable: {
    number: 2105,
    title: 'Deadline cannot be met',
    message: 'the request cannot be completed before its deadline',
    hint: 'Set a later deadline or send fewer requests.',
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
    title: 'No backend server available',
    message: 'no backend server of the service accepts requests now',
    hint: 'Run `almondhoist explain` to see the candidates that were considered.',
    httpStatus: 503,
  },
  connectFailed: {
    number: 2108,
    title: 'Backend server not reachable',
    message: 'no connection to the backend server could be opened',
    hint: 'Check that the backend server runs and listens on its address.',
    httpStatus: 503,
  },
  nodeLeaving: {
    number: 2109,
    title: 'Node is stopping',
    message: 'the node or its backend server is stopping',
    hint: 'Send the request to another node.',
    httpStatus: 503,
  },
  zoneOut: {
    number: 2110,
    title: 'Availability zone out of service',
    message: 'the availability zone of the backend server accepts no new requests',
    hint: 'Send the request to a node in another availability zone.',
    httpStatus: 503,
  },
  retryBudgetSpent: {
    number: 2111,
    title: 'Retry budget exhausted',
    message: 'the call tree of the root request has no retries left',
    hint: 'Do not retry the call inside the same request.',
    httpStatus: 503,
  },
  quarantined: {
    number: 2112,
    title: 'Request is quarantined',
    message: 'identical requests crashed backend servers',
    hint: 'Do not retry the request; operators can find it in the log by its fingerprint.',
    httpStatus: 503,
  },
  isolated: {
    number: 2113,
    title: 'Node is isolated',
    message: 'the node can reach neither the configuration service nor any other node',
    hint: 'Send the request to another node.',
    httpStatus: 503,
  },
  notReady: {
    number: 2114,
    title: 'Node is not ready',
    message: 'the node has no configuration yet',
    hint: 'Retry shortly; if the error persists, check the configuration service.',
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
    message: 'the backend server was restarted or another one now has its address',
    hint: 'Nothing to do; the directory of backend servers is updated within seconds.',
    httpStatus: 503,
  },
  policyIncomplete: {
    number: 2117,
    title: 'Policy incomplete',
    message: 'a route or a key of the policy could not be read, and the request may belong to it',
    hint: 'Look for lines with code 4220; they name the parts that could not be read.',
    httpStatus: 503,
  },
  requestIncomplete: {
    number: 2118,
    title: 'Request incomplete',
    message: 'the request did not arrive completely in time',
    hint: 'Send the request again; it has not run.',
    httpStatus: 408,
  },
  serverFaulty: {
    number: 2119,
    title: 'Backend server sends answers without end',
    message:
      'recent responses of the backend server had to be given up, so it gets no requests for a while',
    hint: 'Look for [3004] and [3012] at stage `gate`; they name the backend server and what its responses cost.',
    httpStatus: 503,
  },
  orderIdMissing: {
    number: 2201,
    title: 'Order identifier missing',
    message: 'a non-idempotent request requires an order identifier',
    hint: 'Retry the request with the identifier in the almondhoist-order-id header of this response.',
    httpStatus: 428,
  },
  orderIdInvalid: {
    number: 2202,
    title: 'Invalid order identifier',
    message: 'the order identifier is forged, or belongs to another client account',
    hint: 'Request a new identifier with POST /almondhoist/orders.',
    httpStatus: 400,
  },
  orderMismatch: {
    number: 2203,
    title: 'Order identifier used for another request',
    message: 'the order identifier belongs to a request with other content',
    hint: 'Use each identifier for only one request.',
    httpStatus: 422,
  },
  ordersFull: {
    number: 2204,
    title: 'Too many stored orders',
    message: 'the node cannot store another order',
    hint: 'Use another node, or wait until older orders expire.',
    httpStatus: 503,
  },
  deadlinePassed: {
    number: 3001,
    title: 'Deadline passed while running',
    message: 'no response arrived before the deadline; the request may have run',
    hint: 'Retry with the same order identifier to get the outcome.',
    httpStatus: 504,
  },
  serverFailed: {
    number: 3002,
    title: 'Backend server failed while running',
    message: 'the connection to the backend server was lost; the request may have run',
    hint: 'Retry with the same order identifier to get the outcome.',
    httpStatus: 502,
  },
  answerTruncated: {
    number: 3003,
    title: 'Response truncated',
    message: 'the response of the backend server was truncated; the request has run',
    hint: 'Retry idempotent requests; do not retry others.',
    httpStatus: 502,
  },
  answerTooLarge: {
    number: 3004,
    title: 'Response too large',
    message: 'the response of the backend server is larger than max_body_bytes',
    hint: 'Raise max_body_bytes in the settings of all nodes or send smaller responses.',
    httpStatus: 502,
  },
  linkLost: {
    number: 3005,
    title: 'Link to the gate lost',
    message: 'the link between two nodes was lost; the request may have run',
    hint: 'Retry with the same order identifier to get the outcome.',
    httpStatus: 502,
  },
  orderUnknown: {
    number: 3006,
    title: 'Order outcome unknown',
    message: 'the node that stored the order has restarted, or the stored order has expired',
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
    hint: 'Do not retry a request that crashes backend servers.',
    httpStatus: 502,
  },
  orderAnswerDropped: {
    number: 3009,
    title: 'Response to the order not stored',
    message: 'the order has run, but its response was too large to store',
    hint: 'Do not place the order again; ask the service for its result.',
    httpStatus: 409,
  },
  answerInvalid: {
    number: 3010,
    title: 'Invalid response',
    message:
      'the response belongs to another request, is not signed, or refuses it without saying that it has not run; the request may have run',
    hint: 'Retry idempotent requests; check the outcome of others with the service.',
    httpStatus: 502,
  },
  answerOverhead: {
    number: 3012,
    title: 'Response with excessive framing',
    message:
      'the response of the backend server costs far more to read than its body is worth; the request may have run',
    hint: 'Find out why the backend server sends very small chunks, many interim responses or a head without end.',
    httpStatus: 502,
  },
  internal: {
    number: 3999,
    title: 'Internal error',
    message: 'unexpected error: {reason}',
    hint: 'Report it with the log line.',
    httpStatus: 500,
  },
  stopBroke: {
    number: 3011,
    title: 'Ended by the stop of the node',
    message: 'the node stopped before the response arrived; the request may have run',
    hint: 'Find out which request takes longer than a stop; its outcome is not known.',
    httpStatus: 502,
  },
  peerFrameInvalid: {
    number: 4001,
    title: 'Invalid peer frame',
    message: 'a frame from {peer} cannot be decoded: {reason}',
    hint: 'Check that all nodes run compatible versions.',
  },
  peerUnproven: {
    number: 4002,
    title: 'Peer authentication failed',
    message: 'a peer did not prove that it belongs to the fleet: {address}',
    hint: 'Check peer_secret in the settings of both nodes.',
  },
  linkSilent: {
    number: 4003,
    title: 'Link timed out',
    message: 'no data arrived on the link to {peer} for too long; the link is replaced',
    hint: 'Look for a firewall or network address translation that drops idle connections.',
  },
  serviceUnreachable: {
    number: 4101,
    title: 'Configuration service not reachable',
    message: 'cannot read the configuration service: {reason}',
    hint: 'Nodes continue with the last accepted configuration; restore the service.',
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
    hint: 'The configuration service returns stale values; the newer version stays in force.',
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
    hint: 'Nodes that can read the store forward the values; check the store and the network path to it.',
  },
  storeRegained: {
    number: 4202,
    title: 'Store reachable again',
    message: 'the published values can be read again at revision {revision} after {lostMs} ms',
    hint: 'Nothing to do.',
  },
  publicationUnreadable: {
    number: 4203,
    title: 'Published value cannot be read',
    message: 'the value {key} cannot be read: {reason}',
    hint: 'Correct the program that writes the value; until then the value is treated as absent.',
  },
  policyApplied: {
    number: 4204,
    title: 'Policy in force',
    message: 'policy version {version} is in force, read at revision {revision}',
    hint: 'Nothing to do.',
  },
  directoryChanged: {
    number: 4205,
    title: 'Directory of backend servers changed',
    message:
      'backend servers: {serving} serving, {leaving} leaving; availability zones out: {zonesOut}',
    hint: 'Nothing to do.',
  },
  peerLost: {
    number: 4206,
    title: 'Link to a peer lost',
    message: 'the link to {address} is lost: {reason}',
    hint: 'Nothing to do if the host was stopped; otherwise check the network.',
  },
  backendCondition: {
    number: 4207,
    title: 'Condition of the backend server changed',
    message: 'backend server {instance} is {condition}: {reason}',
    hint: 'Nothing to do; a cold backend server gets few requests, one that is down gets none.',
  },
  settingsReloaded: {
    number: 4208,
    title: 'Settings reload',
    message: 'reload of the settings file: {outcome}',
    hint: 'If the file was not accepted, correct it; the previous settings stay in force.',
  },
  stopRequested: {
    number: 4209,
    title: 'Stop requested',
    message: 'stopping with {open} open requests',
    hint: 'Nothing to do.',
  },
  linesDropped: {
    number: 4210,
    title: 'Log lines dropped',
    message: '{dropped} lines were dropped in the last second to limit the size of the log',
    hint: 'The counters on the metrics address are complete.',
  },
  accessClosed: {
    number: 4211,
    title: 'Gate closed or opened',
    message: 'the gate is {state}: {reason}',
    hint: 'Nothing to do; operators or the backend server asked for it.',
  },
  lapseHeld: {
    number: 4212,
    title: 'Removed entry kept temporarily',
    message:
      'the entry {key} was removed during or shortly after a store outage and is kept for {holdMs} ms',
    hint: 'Nothing to do; the entry is then deleted unless the backend server registers again.',
  },
  sourceChanged: {
    number: 4213,
    title: 'Source of the published values changed',
    message: 'published values are read from {source}, starting at revision {revision}',
    hint: 'Nothing to do; a node that receives no values from the reading node reads the store itself.',
  },
  processPaused: {
    number: 4214,
    title: 'Process paused',
    message: 'the process handled no events for {pausedMs} ms ({kind})',
    hint: 'Check the load of the host if this recurs.',
  },
  limitStated: {
    number: 4215,
    title: 'Limit of a backend server changed',
    message: 'the backend server {instance} states a limit of {limit} requests per second',
    hint: 'Find out why the backend server is in need; further requests go elsewhere or are refused.',
  },
  limitUnreadable: {
    number: 4216,
    title: 'Limit of a backend server unreadable',
    message:
      'the backend server {instance} states the unreadable limit "{text}"; {limit} stays in force',
    hint: 'Correct the backend server; a limit is a decimal number of requests per second.',
  },
  backendLeaving: {
    number: 4217,
    title: 'Backend server leaving',
    message: 'the backend server {instance} states that it leaves and gets no new requests',
    hint: 'Nothing to do if the stop of the backend server is planned.',
  },
  callsLate: {
    number: 4218,
    title: 'Calls of a peer arrived late',
    message:
      '{calls} calls of {peer} arrived up to {delayMs} ms late; {cancelled} of them were cancelled before they were passed on',
    hint: 'Check the network between both hosts, and the load of both, if this recurs.',
  },
  processorLimit: {
    number: 4219,
    title: 'Gate limited by the processor of its node',
    message:
      'the processor of the node is {state} at a utilization of {utilization}; the gate runs at most {limit} calls',
    hint: 'Give the host more processor time, or spread its service over more hosts.',
  },
  partUnreadable: {
    number: 4220,
    title: 'Part of a published value unreadable',
    message: 'the part {part} of the value {key} cannot be read: {reason}; the other parts hold',
    hint: 'Correct the program that writes the value, or upgrade the nodes if they are older than it.',
  },
  linesLost: {
    number: 4221,
    title: 'Log lines lost',
    message: '{lines} lines were lost because standard output was not read or could not be written',
    hint: 'Check the reader of the log and the free space; the counters on the metrics address are complete.',
  },
  processFailed: {
    number: 4222,
    title: 'Process ended by an error',
    message: 'an error that was not handled ends the process: {reason}',
    hint: 'Report the error with the lines before it; requests in flight were lost.',
  },
  answerUnread: {
    number: 4223,
    title: 'Connection closed, answer not read',
    message: 'a connection was closed whose caller had not read its answers for longest',
    hint: 'Answers that callers have not read may take a fifth of the memory; look for slow readers.',
  },
  connectionsExceeded: {
    number: 4224,
    title: 'Connection closed, too many connections',
    message: 'the connection that had been without a request for longest was closed',
    hint: 'Callers may hold 0.6 of the descriptors of the process; look for unused connections.',
  },
  memoryUse: {
    number: 4225,
    title: 'Memory nearly used up, or no longer',
    message:
      'the use of memory is {state}: {heapMb} MB on the heap, {externalMb} MB in buffers; answers of the backend server hold {answersMb} MB, unread answers {unreadMb} MB',
    hint: 'If the heap holds far more than is counted, look for the calls with the most chunks at stage `gate`.',
  },
  answerBreaker: {
    number: 4226,
    title: 'Backend server with answers without end, or no longer',
    message: 'responses had to be given up: the backend server {instance} {state}',
    hint: 'Look for [3004] and [3012] at stage `gate`; they say what its responses cost.',
  },
  acceptsBehind: {
    number: 4227,
    title: 'New connections closed unread',
    message:
      'new connections waited too long to be accepted; {dropped} were closed unread in {tookMs} ms',
    hint: 'The processor of the node is saturated: look at its utilization and at other work on the host.',
  },
  outageAsked: {
    number: 4228,
    title: 'Peers asked about a store outage',
    message: 'peers asked since when the store has answered them, in round {round}: {peers}',
    hint: 'Nothing to do; a round follows every 0.2 s while an entry is kept.',
  },
  lapseEnded: {
    number: 4229,
    title: 'Removed entry kept no longer',
    message: 'the entry {key} was kept for {heldMs} ms after its removal was read: {reason}',
    hint: 'Nothing to do; requests go to the backend server again only if it has registered.',
  },
  chosenInZone: {
    number: 5001,
    title: 'Chosen in the local availability zone',
    message: 'the less loaded of two candidates in the local availability zone',
    hint: 'Nothing to do.',
  },
  chosenOnly: {
    number: 5002,
    title: 'Only candidate',
    message: 'only one candidate remained',
    hint: 'Check why the other backend servers were excluded.',
  },
  chosenSpill: {
    number: 5003,
    title: 'Spilled to another availability zone',
    message: 'the local availability zone was highly loaded or recently refused requests',
    hint: 'If this persists, add capacity to the availability zone.',
  },
  chosenNoLocal: {
    number: 5004,
    title: 'No candidate in the local availability zone',
    message: 'a candidate of another availability zone was chosen',
    hint: 'Nothing to do while the zone is out.',
  },
  chosenHome: {
    number: 5005,
    title: 'Sent to the home node of the order',
    message: 'the order identifier names the home node',
    hint: 'Nothing to do.',
  },
  chosenRetry: {
    number: 5006,
    title: 'Sent to another gate',
    message: 'an earlier gate refused the call without running it',
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
 * Looks up a result code.
 *
 * @param name - name of the code
 * @returns its entry in the registry
 */
export function getResultCode(name: CodeName): ResultCode {
  return resultCodes[name];
}

/**
 * Fills the placeholders in the message of a result code.
 *
 * @param name - name of the code
 * @param details - values for the placeholders
 * @returns the message; a placeholder without a value stays as it is
 */
export function formatCodeMessage(name: CodeName, details: Details = {}): string {
  return getResultCode(name).message.replace(/\{(\w+)\}/g, (placeholder, key: string) =>
    String(details[key] ?? placeholder),
  );
}
