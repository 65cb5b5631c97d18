import { printFailure } from './cli/print-failure.js';
import { ProcessSignals } from './cli/process-signals.js';

const args = process.argv.slice(2);
const isNode = args[0] === 'node';
const signals = new ProcessSignals();

// A signal may arrive while the other modules are loaded, and would end the process by default.
if (isNode) signals.receive(args.includes('--platform') ? 'stop-and-reload' : 'stop');

// Standard error is often not kept.
if (isNode) process.on('uncaughtExceptionMonitor', printFailure);

process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  // A reader such as `head` may close the pipe early, and a node goes on without its log.
  if (error.code !== 'EPIPE' && !isNode) {
    throw error;
  }
});

async function main(): Promise<void> {
  const { run } = await import('./cli/run.js');
  const { text: readAll } = await import('node:stream/consumers');
  const terminal = {
    print: (text: string) => process.stdout.write(`${text}\n`),
    printError: (text: string) => process.stderr.write(`${text}\n`),
    readInput: () => readAll(process.stdin),
  };
  // process.exit would discard pending output to a pipe.
  process.exitCode = await run(args, terminal, signals);
}

void main();
