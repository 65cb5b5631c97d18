import type { Result } from 'neverthrow';
import {
  array,
  Codec,
  exactly,
  nullType,
  number,
  oneOf,
  string,
  type Codec as CodecOf,
} from 'purify-ts/Codec';
import { Left, Right, type Either } from 'purify-ts/Either';
import { parseJson } from '../configuration/canonical-json.js';
import { fromEither } from '../errors/from-either.js';
import { resultCodes, type CodeName } from '../errors/registry.js';
import type { LogEntry } from '../logs/log-entry.js';
import type { BackendServerName } from '../model/names.js';
import { PROMISES, type PromiseName } from '../promises/violation.js';

/** A log entry with its node and its position in the log of that node. */
export interface LogLine<Entry extends LogEntry = LogEntry> {
  readonly node: BackendServerName;
  /** Wall-clock time of the node in milliseconds. */
  readonly time: number;
  /** Position among the lines that one process wrote; orders lines of the same millisecond. */
  readonly sequence: number;
  readonly entry: Entry;
}

/** The parsed lines of a log and the number of lines that could not be parsed. */
export interface ParsedLog {
  readonly lines: readonly LogLine[];
  readonly skipped: number;
}

/** Decoding half of a codec; the encoders of purify-ts do not accept read-only types. */
interface Decoder<T> {
  readonly decode: (value: unknown) => Either<string, T>;
}

function nameCodec<T extends string>(name: string, isKnown: (text: string) => boolean): CodecOf<T> {
  return Codec.custom<T>({
    decode: (value) =>
      typeof value === 'string' && isKnown(value) ? Right(value as T) : Left(`expected ${name}`),
    encode: (value) => value,
  });
}

const code = nameCodec<CodeName>('the name of a result code', (text) =>
  Object.hasOwn(resultCodes, text),
);
const promise = nameCodec<PromiseName>('the name of a promise', (text) =>
  PROMISES.some((known) => known === text),
);
const numberOrNull = oneOf([number, nullType]);

const subject = {
  requestId: string,
  rootId: string,
  caller: oneOf([
    Codec.interface({ kind: exactly('account'), account: string }),
    Codec.interface({ kind: exactly('anonymous') }),
  ]),
  service: string,
};

const details = Codec.custom<Readonly<Record<string, string | number>>>({
  decode: (value) =>
    typeof value === 'object' && value !== null
      ? Right(value as Readonly<Record<string, string | number>>)
      : Left('expected an object'),
  encode: (value) => value,
});

type EntryDecoders = {
  readonly [Kind in LogEntry['kind']]: Decoder<Extract<LogEntry, { readonly kind: Kind }>>;
};

const entryDecoders: EntryDecoders = {
  routing: Codec.interface({
    kind: exactly('routing'),
    ...subject,
    zone: string,
    attempt: number,
    candidates: array(
      Codec.interface({
        backendServer: string,
        zone: string,
        busy: numberOrNull,
        limit: numberOrNull,
      }),
    ),
    choice: oneOf([string, nullType]),
    code,
  }),
  placement: Codec.interface({
    kind: exactly('placement'),
    ...subject,
    orderId: string,
    home: string,
    code,
  }),
  dispatch: Codec.interface({ kind: exactly('dispatch'), ...subject, backendServer: string }),
  'gate-answer': Codec.interface({
    kind: exactly('gate-answer'),
    ...subject,
    backendServer: string,
    code,
    status: numberOrNull,
  }),
  refusal: Codec.interface({
    kind: exactly('refusal'),
    requestId: string,
    code,
    retryAfterMs: number,
  }),
  'entry-answer': Codec.interface({
    kind: exactly('entry-answer'),
    ...subject,
    code,
    status: number,
    durationMs: number,
  }),
  decision: Codec.interface({
    kind: exactly('decision'),
    stage: oneOf([exactly('entry'), exactly('placement'), exactly('gate')]),
    requestId: string,
    code,
    details,
  }),
  event: Codec.interface({ kind: exactly('event'), code, details }),
  violation: Codec.interface({ kind: exactly('violation'), promise, detail: string }),
};

const envelope = Codec.interface({
  time: number,
  sequence: string,
  context: Codec.interface({
    application: exactly('almondhoist'),
    node: string,
    kind: nameCodec<LogEntry['kind']>('the kind of a log line', (text) =>
      Object.hasOwn(entryDecoders, text),
    ),
  }),
});

const identity = (text: string): string => text;

function decodeEntry(kind: LogEntry['kind'], context: unknown): Result<LogEntry, string> {
  return fromEither((entryDecoders[kind] as Decoder<LogEntry>).decode(context), identity);
}

/**
 * Parses one line of a log.
 *
 * @param text - the line
 * @returns the parsed line, or the reason why it is not a log line of almondhoist
 */
export function parseLogLine(text: string): Result<LogLine, string> {
  const value = parseJson(text);
  return fromEither(envelope.decode(value), identity).andThen(({ time, sequence, context }) =>
    decodeEntry(context.kind, (value as { readonly context: unknown }).context).map((entry) => ({
      node: context.node,
      time,
      sequence: Number.parseInt(sequence, 10),
      entry,
    })),
  );
}

/**
 * Parses the lines of one or several logs.
 *
 * @param texts - whole logs
 * @returns the parsed lines and the number of skipped lines; empty lines are not counted
 */
export function parseLog(texts: readonly string[]): ParsedLog {
  const results = texts
    .flatMap((text) => text.split(/\r?\n/))
    .filter((text) => text.trim() !== '')
    .map(parseLogLine);
  const lines = results.flatMap((result) => (result.isOk() ? [result.value] : []));
  return { lines, skipped: results.length - lines.length };
}
