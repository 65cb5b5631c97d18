import type { Random } from './process.js';

/** Part of an answer that never ends. */
export type EndlessPart =
  | { readonly kind: 'empty-lines-first' }
  | { readonly kind: 'interim-answers'; readonly status: number }
  | { readonly kind: 'reason' }
  | { readonly kind: 'header-name' }
  | { readonly kind: 'header-value' }
  | { readonly kind: 'headers'; readonly valueBytes: number }
  /** Digits of the size of a chunk. */
  | { readonly kind: 'chunk-size' }
  | { readonly kind: 'junk-as-chunk-size'; readonly junk: string }
  | { readonly kind: 'chunk-extension' }
  | { readonly kind: 'chunk' }
  /** Chunks of these sizes in turn, each with an extension. */
  | {
      readonly kind: 'chunks';
      readonly sizes: readonly number[];
      readonly extensionBytes: number;
    }
  | { readonly kind: 'trailers'; readonly valueBytes: number }
  /** Events of a stream, cut into pieces; each piece is a chunk unless `pieceBytes` is null. */
  | {
      readonly kind: 'events';
      readonly event: EventText;
      readonly dataBytes: number;
      readonly pieceBytes: number | null;
    }
  | { readonly kind: 'body'; readonly isLengthTold: boolean }
  | { readonly kind: 'tail'; readonly tail: Tail }
  | { readonly kind: 'other-protocol' };

/** What an endless stream of events consists of. */
export type EventText = 'whole' | 'incomplete' | 'comment' | 'empty-line';

/** What follows an answer that is whole. */
export type Tail = 'bytes' | 'empty-lines' | 'answers';

/** Description of an answer without end. */
export interface EndlessForm {
  readonly status: number;
  readonly reasonBytes: number;
  /** Statuses of the interim answers in front. */
  readonly interimStatuses: readonly number[];
  readonly headerCount: number;
  readonly headerBytes: number;
  readonly part: EndlessPart;
}

const STATUSES: readonly number[] = [200, 200, 500, 500, 404, 503];
const INTERIM_STATUSES: readonly number[] = [100, 102, 103];
const JUNK: readonly string[] = ['no size', '-1\r\n', '\u0001\u0002', '\r\n', ' '];
const EVENT_TEXTS: readonly EventText[] = ['whole', 'incomplete', 'comment', 'empty-line'];
const TAILS: readonly Tail[] = ['bytes', 'empty-lines', 'answers'];

/** Sizes are drawn by their power of two, since the small ones differ most in their effect. */
const MAX_CHUNK_POWER = 16;
const MAX_EVENT_POWER = 11;
const MAX_HEADER_POWER = 12;
const MAX_EXTENSION_POWER = 8;
const MAX_REASON_POWER = 13;
const MAX_CHUNK_SIZES = 6;
const MAX_INTERIM_ANSWERS = 20;
const MAX_HEADERS = 150;

/** Probability of each feature that an answer may have in front of its endless part. */
const FEATURE_PROBABILITY = 0.25;

const PART_KINDS: readonly EndlessPart['kind'][] = [
  'empty-lines-first',
  'interim-answers',
  'reason',
  'header-name',
  'header-value',
  'headers',
  'chunk-size',
  'junk-as-chunk-size',
  'chunk-extension',
  'chunk',
  'chunks',
  // Twice, as its sizes make it many forms.
  'chunks',
  'trailers',
  'events',
  'events',
  'body',
  'tail',
  'other-protocol',
];

function pick<Item>(items: readonly Item[], random: Random): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('cannot pick from an empty list');
  return item;
}

function drawCount(max: number, random: Random): number {
  return 1 + Math.floor(random() * max);
}

function drawSize(maxPower: number, random: Random): number {
  return Math.round(2 ** (random() * maxPower));
}

function hasFeature(random: Random): boolean {
  return random() < FEATURE_PROBABILITY;
}

function drawPart(random: Random): EndlessPart {
  const kind = pick(PART_KINDS, random);
  switch (kind) {
    case 'empty-lines-first':
    case 'reason':
    case 'header-name':
    case 'header-value':
    case 'chunk-size':
    case 'chunk-extension':
    case 'chunk':
    case 'other-protocol':
      return { kind };
    case 'interim-answers':
      return { kind, status: pick(INTERIM_STATUSES, random) };
    case 'headers':
      return { kind, valueBytes: drawSize(MAX_HEADER_POWER, random) };
    case 'junk-as-chunk-size':
      return { kind, junk: pick(JUNK, random) };
    case 'chunks': {
      const sizes = Array.from({ length: drawCount(MAX_CHUNK_SIZES, random) }, () =>
        drawSize(MAX_CHUNK_POWER, random),
      );
      return {
        kind,
        sizes,
        extensionBytes: hasFeature(random) ? drawSize(MAX_EXTENSION_POWER, random) : 0,
      };
    }
    case 'trailers':
      return { kind, valueBytes: drawSize(MAX_HEADER_POWER, random) };
    case 'events':
      return {
        kind,
        event: pick(EVENT_TEXTS, random),
        dataBytes: drawSize(MAX_EVENT_POWER, random),
        pieceBytes: hasFeature(random) ? null : drawSize(MAX_CHUNK_POWER, random),
      };
    case 'body':
      return { kind, isLengthTold: random() < 0.5 };
    case 'tail':
      return { kind, tail: pick(TAILS, random) };
  }
}

/**
 * Draws the form of an answer without end.
 *
 * @param random - source of random numbers
 * @returns the form
 */
export function drawEndlessForm(random: Random): EndlessForm {
  const interimAnswers = hasFeature(random) ? drawCount(MAX_INTERIM_ANSWERS, random) : 0;
  return {
    status: pick(STATUSES, random),
    reasonBytes: hasFeature(random) ? drawSize(MAX_REASON_POWER, random) : 0,
    interimStatuses: Array.from({ length: interimAnswers }, () => pick(INTERIM_STATUSES, random)),
    headerCount: hasFeature(random) ? drawCount(MAX_HEADERS, random) : 0,
    headerBytes: drawSize(MAX_HEADER_POWER, random),
    part: drawPart(random),
  };
}
