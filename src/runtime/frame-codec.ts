import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import {
  array,
  boolean,
  Codec,
  enumeration,
  exactly,
  nullType,
  number,
  oneOf,
  optional,
  string,
  tuple,
} from 'purify-ts/Codec';
import { Left, Right, type Either } from 'purify-ts/Either';
import { resultCodes, type CodeName } from '../core/errors/registry.js';
import { IMPORTANCES, type Importance } from '../core/model/configuration.js';
import type { Topic } from '../core/model/document.js';
import type { PeerMessage } from '../core/model/peer-message.js';
import type { HandshakeMessage } from '../core/membership/handshake.js';

/** A message between two nodes, including those of the handshake. */
export type Frame = HandshakeMessage | PeerMessage;

// Without the record extension, a frame can be decoded without state of the connection.
const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** Decoding half of a codec; the library's codecs cannot encode read-only types. */
interface Decoder<T> {
  readonly decode: (value: unknown) => Either<string, T>;
}

function predicateCodec<T>(name: string, isValid: (value: unknown) => boolean): Codec<T> {
  return Codec.custom<T>({
    decode: (value) => (isValid(value) ? Right(value as T) : Left(`expected ${name}`)),
    encode: (value) => value,
  });
}

const bytes = predicateCodec<Uint8Array>('bytes', (value) => value instanceof Uint8Array);
const codeName = predicateCodec<CodeName>(
  'the name of a result code',
  (value) => typeof value === 'string' && Object.hasOwn(resultCodes, value),
);
const topic = predicateCodec<Topic>(
  'a topic',
  (value) => value === 'configuration' || (typeof value === 'string' && value.startsWith('hosts/')),
);
const importance = predicateCodec<Importance>('an importance', (value) =>
  IMPORTANCES.some((known) => known === value),
);
const finite = predicateCodec<number>('a finite number', (value) => Number.isFinite(value));
const headers = array(tuple([string, string]));

/** Maps are sent as arrays of pairs, because plain objects treat some keys specially. */
const textMap = Codec.custom<ReadonlyMap<string, string>>({
  decode: (value) =>
    array(tuple([string, string]))
      .decode(value)
      .map((pairs) => new Map(pairs)),
  encode: (value) => [...value],
});

const caller = oneOf([
  Codec.interface({ kind: exactly('account'), account: string }),
  Codec.interface({ kind: exactly('anonymous') }),
]);

const call = Codec.interface({
  requestId: string,
  rootId: string,
  rootHash: finite,
  caller,
  service: string,
  route: string,
  importance,
  idempotent: boolean,
  depth: finite,
  retries: finite,
  deadline: finite,
  startBy: finite,
  fingerprint: string,
  method: string,
  path: string,
  headers,
  body: bytes,
});

const outcome = oneOf([
  Codec.interface({ kind: exactly('answered'), status: finite, headers, body: bytes }),
  Codec.interface({ kind: exactly('refused'), code: codeName, retryAfterMs: finite }),
  Codec.interface({ kind: exactly('failed'), code: codeName }),
]);

const load = Codec.interface({
  state: oneOf([exactly('serving'), exactly('leaving'), exactly('zone-out')]),
  running: finite,
  queued: finite,
  limit: finite,
});

const answer = Codec.interface({
  requestId: string,
  outcome,
  retriesSpent: finite,
  feedback: array(Codec.interface({ service: string, admitFraction: finite })),
  load,
});

const head = Codec.interface({ topic, version: finite, digest: string });
const identity = Codec.interface({ node: string, zone: string, incarnation: string });
const mark = Codec.interface({ fingerprint: string, crashId: string, ageMs: finite });
const seatIncarnation = Codec.interface({ seat: string, incarnation: string });

const delta = Codec.interface({
  topic,
  fromDigest: string,
  version: finite,
  digest: string,
  changed: textMap,
  removed: array(string),
});

const document = Codec.interface({ topic, version: finite, digest: string, entries: textMap });

type FrameDecoders = {
  readonly [Kind in Frame['kind']]: Decoder<Extract<Frame, { readonly kind: Kind }>>;
};

const frameDecoders: FrameDecoders = {
  hello: Codec.interface({ kind: exactly('hello'), version: number, identity, nonce: string }),
  challenge: Codec.interface({
    kind: exactly('challenge'),
    identity,
    nonce: string,
    proof: string,
  }),
  proof: Codec.interface({ kind: exactly('proof'), proof: string }),
  ping: Codec.interface({
    kind: exactly('ping'),
    sentAt: finite,
    heads: array(head),
    serviceAgeMs: number,
  }),
  pong: Codec.interface({ kind: exactly('pong'), echoedSentAt: finite, receivedAt: finite }),
  call: Codec.interface({ kind: exactly('call'), call }),
  'order-call': Codec.interface({ kind: exactly('order-call'), orderId: string, call }),
  answer: Codec.interface({ kind: exactly('answer'), answer }),
  cancel: Codec.interface({ kind: exactly('cancel'), requestId: string }),
  announce: Codec.interface({ kind: exactly('announce'), head, serviceAgeMs: number }),
  pull: Codec.interface({
    kind: exactly('pull'),
    topic,
    haveDigest: oneOf([string, nullType]),
  }),
  delta: Codec.interface({ kind: exactly('delta'), delta }),
  document: Codec.interface({ kind: exactly('document'), document }),
  draw: Codec.interface({
    kind: exactly('draw'),
    drawId: finite,
    account: string,
    want: finite,
    isAhead: boolean,
  }),
  grant: Codec.interface({
    kind: exactly('grant'),
    drawId: finite,
    account: string,
    tokens: finite,
    retryAfterMs: finite,
    isFinal: boolean,
  }),
  settlement: Codec.interface({
    kind: exactly('settlement'),
    drawId: finite,
    account: string,
    spent: finite,
    returned: finite,
  }),
  'lease-request': Codec.interface({
    kind: exactly('lease-request'),
    leaseId: finite,
    incarnation: string,
    accounts: array(string),
  }),
  lease: Codec.interface({
    kind: exactly('lease'),
    leaseId: finite,
    incarnation: string,
    shares: array(
      Codec.interface({ account: string, ratePerSecond: finite, burst: finite, tokens: finite }),
    ),
  }),
  marks: Codec.interface({
    kind: exactly('marks'),
    marks: array(mark),
    clearances: optional(array(Codec.interface({ fingerprint: string, ageMs: finite }))),
  }),
  incarnations: Codec.interface({ kind: exactly('incarnations'), seen: array(seatIncarnation) }),
  leaving: Codec.interface({ kind: exactly('leaving'), forMs: finite }),
};

const frameKind = Codec.interface({
  kind: enumeration(
    Object.fromEntries(Object.keys(frameDecoders).map((kind) => [kind, kind])) as Record<
      string,
      Frame['kind']
    >,
  ),
});

function toWire(frame: Frame): unknown {
  switch (frame.kind) {
    case 'delta':
      return { ...frame, delta: { ...frame.delta, changed: [...frame.delta.changed] } };
    case 'document':
      return { ...frame, document: { ...frame.document, entries: [...frame.document.entries] } };
    default:
      return frame;
  }
}

/**
 * Encodes a frame as MessagePack.
 *
 * @param frame - the frame
 * @returns its bytes
 */
export function encodeFrame(frame: Frame): Uint8Array {
  return packr.pack(toWire(frame));
}

/**
 * Decodes and validates a frame.
 *
 * @param data - bytes received from the socket
 * @returns the frame, or why it is invalid
 */
export function decodeFrame(data: Uint8Array): Result<Frame, string> {
  try {
    const value: unknown = packr.unpack(data);
    const decoded = frameKind
      .decode(value)
      .chain(({ kind }) => (frameDecoders[kind] as Decoder<Frame>).decode(value));
    return decoded.caseOf<Result<Frame, string>>({
      Left: (reason) => err(reason),
      Right: (frame) => ok(frame),
    });
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}
