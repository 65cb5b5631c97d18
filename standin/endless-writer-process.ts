// Writes answers without end on the connections that the parent process hands over.
import type { Socket } from 'node:net';
import { composeEndlessAnswer } from './endless-answers.js';
import type { EndlessWriterMessage } from './endless-writer.js';
import { answerEndlessly } from './raw-answers.js';

process.on('message', ({ form, id }: EndlessWriterMessage, socket: Socket | undefined) => {
  // A connection that closed on its way comes without a socket.
  if (socket === undefined) return;
  socket.on('error', () => {});
  socket.resume();
  answerEndlessly(socket, composeEndlessAnswer(form), id);
});
process.on('disconnect', () => process.exit(0));
