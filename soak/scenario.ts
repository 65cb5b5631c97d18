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
import { Simulation } from './simulation.js';

const expectationCodec = oneOf([
  /**
   * At least the share `at_least` of the root requests whose marks start with `mark` is answered
   * with one of the codes.
   */
  Codec.interface({
    kind: exactly('answers'),
    mark: string,
    codes: array(string),
    at_least: number,
  }),
  /** The total number of runs of a path at all backend servers is within the bounds. */
  Codec.interface({ kind: exactly('runs'), path: string, at_least: number, at_most: number }),
]);

const scenarioCodec = Codec.interface({
  title: string,
  covers: array(string),
  /** Reason for a known failure that KNOWN-RED.txt lists. */
  known_red: optional(string),
  events: array(intersect(Codec.interface({ at_ms: number }), stepCodec)),
  expect: array(expectationCodec),
});

export type Scenario = GetType<typeof scenarioCodec>;
type Expectation = GetType<typeof expectationCodec>;

const parseToml = Result.fromThrowable(parse, String);

/** Parses a scenario file; the error describes what is invalid. */
export function readScenario(text: string): Result<Scenario, string> {
  return parseToml(text).andThen((table) =>
    Result.fromThrowable(() => scenarioCodec.decode(table).unsafeCoerce(), String)(),
  );
}

function checkExpectation(expected: Expectation, { audit }: Simulation): readonly string[] {
  switch (expected.kind) {
    case 'answers': {
      const { mark, codes, at_least: atLeast } = expected;
      const requests = [...audit.trackedRequests.values()].filter(
        (tracked) => tracked.isRoot && tracked.mark.startsWith(mark),
      );
      const found = requests.map(({ id }) => audit.replies.get(id)?.code ?? 'none');
      const others = found.filter((code) => !codes.includes(code));
      const share = 1 - others.length / found.length;
      return share >= atLeast
        ? []
        : [`${mark}: ${share} of ${found.length}, not ${atLeast}; others: ${others.join(' ')}`];
    }
    case 'runs': {
      const count = audit.runs.get(expected.path) ?? 0;
      const isWithinBounds = count >= expected.at_least && count <= expected.at_most;
      return isWithinBounds ? [] : [`${expected.path} ran ${count} times`];
    }
  }
}

/** Runs a scenario and lists the broken promises and the failed expectations. */
export async function runScenario({ events, expect }: Scenario): Promise<readonly string[]> {
  const simulation = new Simulation({ seed: 1, hasLinkFaults: false, defect: null });
  try {
    await simulation.start();
    const start = simulation.time.now;
    for (const event of [...events].sort((left, right) => left.at_ms - right.at_ms)) {
      await simulation.time.advance(Math.max(0, start + event.at_ms - simulation.time.now));
      await simulation.perform(event);
    }
    const ends = events.map((event) => event.at_ms + (event.kind === 'load' ? event.ms : 0));
    await simulation.time.advance(Math.max(0, start + Math.max(0, ...ends) - simulation.time.now));
    await simulation.finish();
    const { breaches } = simulation.audit;
    return [
      ...breaches.map(({ at, promise, detail }) => `${promise} at ${at - start} ms: ${detail}`),
      ...expect.flatMap((expected) => checkExpectation(expected, simulation)),
    ];
  } finally {
    simulation.close();
  }
}
