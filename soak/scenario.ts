import { Result } from 'neverthrow';
import {
  array,
  Codec,
  exactly,
  intersect,
  number,
  oneOf,
  optional,
  string,
  type GetType,
} from 'purify-ts/Codec';
import { parse } from 'smol-toml';
import { stepCodec } from './step.js';
import { World } from './world.js';

const expectationCodec = oneOf([
  /** At least this share of the root requests whose marks begin so ends with one of the codes. */
  Codec.interface({
    kind: exactly('answers'),
    mark: string,
    codes: array(string),
    at_least: number,
  }),
  /** A path runs that often at all backend servers together. */
  Codec.interface({ kind: exactly('runs'), path: string, at_least: number, at_most: number }),
]);

const scenarioCodec = Codec.interface({
  title: string,
  covers: array(string),
  /** Why it fails at present; KNOWN-RED.txt lists it. */
  known_red: optional(string),
  events: array(intersect(Codec.interface({ at_ms: number }), stepCodec)),
  expect: array(expectationCodec),
});

export type Scenario = GetType<typeof scenarioCodec>;
type Expectation = GetType<typeof expectationCodec>;

const parseToml = Result.fromThrowable(parse, String);

/** Reads a scenario file, or tells what is wrong with it. */
export function readScenario(text: string): Result<Scenario, string> {
  return parseToml(text).andThen((table) =>
    Result.fromThrowable(() => scenarioCodec.decode(table).unsafeCoerce(), String)(),
  );
}

function failureOf(expected: Expectation, { audit }: World): readonly string[] {
  switch (expected.kind) {
    case 'answers': {
      const { mark, codes, at_least: atLeast } = expected;
      const asks = [...audit.asks.values()].filter(
        (ask) => ask.isRoot && ask.mark.startsWith(mark),
      );
      const found = asks.map(({ id }) => audit.replies.get(id)?.code ?? 'none');
      const others = found.filter((code) => !codes.includes(code));
      const share = 1 - others.length / found.length;
      return share >= atLeast
        ? []
        : [`${mark}: ${share} of ${found.length}, not ${atLeast}; others: ${others.join(' ')}`];
    }
    case 'runs': {
      const count = audit.runs.get(expected.path) ?? 0;
      const isRight = count >= expected.at_least && count <= expected.at_most;
      return isRight ? [] : [`${expected.path} ran ${count} times`];
    }
  }
}

/** Plays a scenario and lists what did not come as expected. */
export async function playScenario({ events, expect }: Scenario): Promise<readonly string[]> {
  const world = new World({ seed: 1, areLinksRough: false, sabotage: null });
  try {
    await world.start();
    const start = world.time.now;
    for (const event of [...events].sort((left, right) => left.at_ms - right.at_ms)) {
      await world.time.advance(Math.max(0, start + event.at_ms - world.time.now));
      await world.perform(event);
    }
    const ends = events.map((event) => event.at_ms + (event.kind === 'load' ? event.ms : 0));
    await world.time.advance(Math.max(0, start + Math.max(0, ...ends) - world.time.now));
    await world.finish();
    const { breaches } = world.audit;
    return [
      ...breaches.map(({ at, promise, detail }) => `${promise} at ${at - start} ms: ${detail}`),
      ...expect.flatMap((expected) => failureOf(expected, world)),
    ];
  } finally {
    world.close();
  }
}
