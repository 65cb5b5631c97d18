import { text as readAll } from 'node:stream/consumers';
import { run } from './cli/run.js';

void run(process.argv.slice(2), {
  print: (text) => process.stdout.write(`${text}\n`),
  printError: (text) => process.stderr.write(`${text}\n`),
  readInput: () => readAll(process.stdin),
}).then((exitCode) => {
  // Not process.exit, which cuts off output to a pipe.
  process.exitCode = exitCode;
});
