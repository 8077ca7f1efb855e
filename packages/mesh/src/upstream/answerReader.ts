/**
 * Strict reader of HTTP/1.1 answers (RFC 9112). Bytes that a lenient parser would interpret fail here, since a
 * status or a header that the upstream has not sent for a request makes a false statement to the caller.
 */

import type * as exchange from '../routing/exchange.js';

/** Limit of the status line and the headers of one answer; also of the trailers. */
const MAX_HEAD_BYTES = 80 * 1024;
/** Interim answers in front of one answer; servers send one or two. */
const MAX_INTERIM_ANSWERS = 16;
/** Keeps the size of a chunk within the exact integers. */
const MAX_CHUNK_SIZE_DIGITS = 12;

const CR = 0x0d;
const LF = 0x0a;
const SEMICOLON = 0x3b;

const STATUS_LINE = /^HTTP\/1\.([01]) ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?$/;
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
/** A status line within a head: the head was broken off, and another answer follows. */
const INNER_STATUS_LINE = /.HTTP\/\d\.\d [1-5]\d\d/;
const CONTENT_LENGTH = /^\d{1,15}$/;

export interface AnswerHead {
  status: number;
  headers: exchange.FlatHeaders;
  /** Length of the body; null if it is sent in chunks or ends with the connection. */
  bodyBytes: number | null;
  /** Whether the protocol version allows another request on the connection. */
  isPersistent: boolean;
}

export interface AnswerListener {
  /** Called with the head of each final answer. */
  onHead: (head: AnswerHead) => void;
  /** Called with each part of a body: the bytes of `chunk` from `start` up to `end`. */
  onBody: (chunk: Buffer, start: number, end: number) => void;
  /** @param surplusBytes number of received bytes behind the answer */
  onComplete: (surplusBytes: number) => void;
}

type State =
  | 'statusLine'
  | 'headers'
  | 'body'
  | 'chunkSize'
  | 'chunkExtension'
  | 'chunk'
  | 'chunkEnd'
  | 'trailers'
  | 'bodyUntilClose'
  | 'stopped';

const EMPTY = Buffer.alloc(0);

class UnreadableError extends Error {}

export class AnswerReader {
  private state: State = 'statusLine';

  private isHeadRequest = false;

  private head: AnswerHead = emptyHead();

  /** Begin of a line whose end has not been received. */
  private line = '';

  /** Bytes of the head, or of the trailers, received so far. */
  private headBytes = 0;

  /** Bytes left of the body or of the chunk that is being received. */
  private leftBytes = 0;

  private interimAnswers = 0;

  private sizeDigits = 0;

  /** Whether a CR was received whose LF must follow. */
  private isLineFeedDue = false;

  private chunk: Buffer = EMPTY;

  private offset = 0;

  constructor(private readonly listener: AnswerListener) {}

  /** Whether no part of an answer has been received since the last one was complete. */
  get isBetweenAnswers(): boolean {
    return this.state === 'statusLine' && this.line === '';
  }

  /** Must be called before the answer to a request arrives; an answer to HEAD has no body. */
  expectAnswerTo(method: string): void {
    this.isHeadRequest = method === 'HEAD';
  }

  /** Ends the reading; the listener is not called again. */
  stop(): void {
    this.state = 'stopped';
  }

  /** @returns why the bytes are no answer; null if they can be one */
  read(chunk: Buffer): string | null {
    this.chunk = chunk;
    this.offset = 0;
    try {
      while (this.offset < chunk.length && this.state !== 'stopped') this.step();
      return null;
    } catch (err) {
      if (!(err instanceof UnreadableError)) throw err;
      this.stop();
      return err.message;
    } finally {
      this.chunk = EMPTY;
      this.offset = 0;
    }
  }

  /**
   * Handles the end of the connection.
   * @returns false if it cuts an answer short
   */
  finish(): boolean {
    if (this.state !== 'bodyUntilClose') return this.isBetweenAnswers;
    this.complete();
    return true;
  }

  private step(): void {
    switch (this.state) {
      case 'body':
      case 'chunk':
        this.readCounted();
        break;
      case 'bodyUntilClose':
        this.listener.onBody(this.chunk, this.offset, this.chunk.length);
        this.offset = this.chunk.length;
        break;
      case 'chunkSize':
      case 'chunkExtension':
        this.readChunkSize();
        break;
      case 'chunkEnd':
        this.readChunkEnd();
        break;
      default:
        this.readHeadLine();
    }
  }

  private readHeadLine(): void {
    const line = this.takeLine();
    if (line === null) return;
    if (this.state === 'statusLine') this.readStatusLine(line);
    else if (line !== '') this.readHeader(line);
    else if (this.state === 'headers') this.endHead();
    else this.complete();
  }

  /** @returns null if the line goes on in the next chunk */
  private takeLine(): string | null {
    const end = this.chunk.indexOf(LF, this.offset);
    const stop = end < 0 ? this.chunk.length : end;
    this.headBytes += stop - this.offset;
    if (this.headBytes > MAX_HEAD_BYTES) throw new UnreadableError('the head is too large');
    this.line += this.chunk.toString('latin1', this.offset, stop);
    this.offset = stop + 1;
    if (end < 0) return null;
    const { line } = this;
    this.line = '';
    if (!line.endsWith('\r')) throw new UnreadableError('a line without CR');
    return line.slice(0, -1);
  }

  private readStatusLine(line: string): void {
    const match = STATUS_LINE.exec(line);
    if (match === null || INNER_STATUS_LINE.test(line)) throw new UnreadableError('no status line');
    this.head = { ...emptyHead(), status: Number(match[2]), isPersistent: match[1] === '1' };
    this.state = 'headers';
  }

  private readHeader(line: string): void {
    const colon = line.indexOf(':');
    const name = line.slice(0, Math.max(0, colon));
    const value = trimBlanks(line.slice(colon + 1));
    if (!HEADER_NAME.test(name) || !HEADER_VALUE.test(value) || INNER_STATUS_LINE.test(line))
      throw new UnreadableError('a malformed header');
    if (this.state === 'headers') this.head.headers.push(name, value);
  }

  private endHead(): void {
    const { head } = this;
    this.headBytes = 0;
    const framing = framingOf(head);
    if (head.status === 101) throw new UnreadableError('an upgrade that was not requested');
    if (head.status < 200) {
      this.interimAnswers += 1;
      if (this.interimAnswers > MAX_INTERIM_ANSWERS)
        throw new UnreadableError('too many interim answers');
      this.state = 'statusLine';
      return;
    }
    this.interimAnswers = 0;
    const hasNoBody = this.isHeadRequest || head.status === 204 || head.status === 304;
    if (hasNoBody || framing === 0) head.bodyBytes = 0;
    else if (framing !== 'chunked') head.bodyBytes = framing;
    this.listener.onHead(head);
    if (this.isStopped) return;
    if (head.bodyBytes === 0) {
      this.complete();
    } else if (head.bodyBytes !== null) {
      this.leftBytes = head.bodyBytes;
      this.state = 'body';
    } else if (framing === 'chunked') {
      this.beginChunk();
    } else {
      head.isPersistent = false;
      this.state = 'bodyUntilClose';
    }
  }

  /** Reads bytes of a body with a length, or of a chunk. */
  private readCounted(): void {
    const end = Math.min(this.chunk.length, this.offset + this.leftBytes);
    const start = this.offset;
    this.offset = end;
    this.leftBytes -= end - start;
    this.listener.onBody(this.chunk, start, end);
    if (this.leftBytes > 0 || this.isStopped) return;
    if (this.state === 'chunk') this.state = 'chunkEnd';
    else this.complete();
  }

  private beginChunk(): void {
    this.leftBytes = 0;
    this.sizeDigits = 0;
    this.state = 'chunkSize';
  }

  private readChunkSize(): void {
    const byte = this.chunk[this.offset]!;
    this.offset += 1;
    if (this.isLineFeedDue || byte === CR) {
      if (this.sizeDigits === 0) throw new UnreadableError('a chunk without size');
      if (this.takeLineFeed(byte)) this.state = this.leftBytes === 0 ? 'trailers' : 'chunk';
    } else if (this.state === 'chunkExtension') {
      if (byte === LF) throw new UnreadableError('a line without CR');
    } else if (byte === SEMICOLON && this.sizeDigits > 0) {
      this.state = 'chunkExtension';
    } else {
      const digit = hexDigit(byte);
      this.sizeDigits += 1;
      if (digit < 0 || this.sizeDigits > MAX_CHUNK_SIZE_DIGITS)
        throw new UnreadableError('a malformed chunk size');
      this.leftBytes = this.leftBytes * 16 + digit;
    }
  }

  private readChunkEnd(): void {
    const byte = this.chunk[this.offset]!;
    this.offset += 1;
    if (this.takeLineFeed(byte)) this.beginChunk();
  }

  /** @returns false for the CR that comes first */
  private takeLineFeed(byte: number): boolean {
    if (byte !== (this.isLineFeedDue ? LF : CR)) throw new UnreadableError('no CRLF');
    this.isLineFeedDue = !this.isLineFeedDue;
    return !this.isLineFeedDue;
  }

  private complete(): void {
    this.headBytes = 0;
    this.state = 'statusLine';
    this.listener.onComplete(this.chunk.length - this.offset);
  }

  /** Read anew after each call of the listener, which may stop the reader. */
  private get isStopped(): boolean {
    return this.state === 'stopped';
  }
}

function emptyHead(): AnswerHead {
  return { status: 0, headers: [], bodyBytes: null, isPersistent: false };
}

/** @returns the length of the body, null if it ends with the connection */
function framingOf({ headers, isPersistent }: AnswerHead): number | 'chunked' | null {
  const lengths = valuesOf(headers, 'content-length');
  const codings = valuesOf(headers, 'transfer-encoding');
  if (codings.length > 0) {
    if (codings.length > 1 || codings[0]!.toLowerCase() !== 'chunked')
      throw new UnreadableError('an unknown transfer encoding');
    if (lengths.length > 0 || !isPersistent)
      throw new UnreadableError('an ambiguous length of the body');
    return 'chunked';
  }
  if (lengths.length === 0) return null;
  if (lengths.length > 1 || !CONTENT_LENGTH.test(lengths[0]!))
    throw new UnreadableError('a malformed length of the body');
  return Number(lengths[0]);
}

function valuesOf(headers: exchange.FlatHeaders, lowerName: string): string[] {
  return headers.filter((_, i) => i % 2 === 1 && headers[i - 1]!.toLowerCase() === lowerName);
}

/** Removes spaces and tabs only; `trim` removes other characters as well. */
function trimBlanks(text: string): string {
  let start = 0;
  let end = text.length;
  while (start < end && isBlank(text.charCodeAt(start))) start += 1;
  while (end > start && isBlank(text.charCodeAt(end - 1))) end -= 1;
  return text.slice(start, end);
}

function isBlank(code: number): boolean {
  return code === 0x20 || code === 0x09;
}

/** @returns -1 if the byte is no hexadecimal digit */
function hexDigit(byte: number): number {
  if (byte >= 0x30 && byte <= 0x39) return byte - 0x30;
  const lower = byte | 0x20;
  return lower >= 0x61 && lower <= 0x66 ? lower - 0x61 + 10 : -1;
}
