import { createServer, type Socket } from 'node:net';
import { parentPort, workerData } from 'node:worker_threads';
import { listenOn } from './host-process.js';
import type { EndlessAnswer } from './endless-answers.js';
import type { EndlessServerMessage, EndlessServerReport } from './endless-server.js';
import { answerEndlessly, readHeads, soundAnswer, type ReceivedHead } from './raw-answers.js';

/** Address of the server, and the instance that it names in health answers. */
interface WorkerSettings {
  readonly ip: string;
  readonly instance: string;
}

const settings = workerData as WorkerSettings;

let answer: EndlessAnswer | null = null;
let mark = '';
let calls = 0;
const open = new Set<Socket>();
let mostOpen = 0;

function handle(head: ReceivedHead, socket: Socket): void {
  if (head.path === '/healthz') {
    socket.write(
      `HTTP/1.1 200 OK\r\nInstance-Id: ${settings.instance}\r\nContent-Length: 0\r\n\r\n`,
    );
    return;
  }
  if (answer === null || !head.path.includes(mark)) {
    socket.write(soundAnswer(head.id));
    return;
  }
  calls += 1;
  open.add(socket);
  mostOpen = Math.max(mostOpen, open.size);
  socket.once('close', () => open.delete(socket));
  answerEndlessly(socket, answer, head.id);
}

const server = createServer((socket) => {
  socket.on('error', () => {});
  readHeads(socket, (head) => handle(head, socket));
});

parentPort?.on('message', (message: EndlessServerMessage) => {
  switch (message.kind) {
    case 'answer':
      ({ answer, mark } = message);
      break;
    case 'report': {
      const report: EndlessServerReport = { kind: 'report', calls, mostOpen };
      parentPort?.postMessage(report);
      break;
    }
  }
});

const port = await listenOn(server, settings.ip);
parentPort?.postMessage({ kind: 'listening', port });
