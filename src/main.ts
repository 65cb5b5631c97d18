import { text as readAll } from 'node:stream/consumers';
import { run } from './cli/run.js';

// A reader such as `head` may close the pipe early; this is not an error of the command.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') {
    throw error;
  }
});

void run(process.argv.slice(2), {
  print: (text) => process.stdout.write(`${text}\n`),
  printError: (text) => process.stderr.write(`${text}\n`),
  readInput: () => readAll(process.stdin),
}).then((exitCode) => {
  // process.exit would discard pending output to a pipe.
  process.exitCode = exitCode;
});
