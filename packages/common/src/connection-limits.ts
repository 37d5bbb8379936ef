/** Limits on the bytes other than body data that a connection of a client may receive. */

/** Limits on what a server may send before the body of an answer: bytes, lines, and informational (1xx) answers. Trailers may have as many lines. */
export const MAX_HEAD_BYTES = 64 * 1024;
export const MAX_HEAD_LINES = 500;
export const MAX_INFORMATIONAL_ANSWERS = 16;

/** Most bytes that the parser reads at once, in a head or in chunk framing, and where body data arrives. */
export const HEAD_PIECE_BYTES = 2 * 1024;
export const BODY_PIECE_BYTES = 16 * 1024;

/** Most pieces of framing that all connections of a process read in one turn of the event loop, after the first of each answer. */
export const FRAMING_PIECES_PER_TURN = 1;

/** Time within which a head must be complete after its first byte, and within which received chunk framing must contain body data. */
export const MAX_HEAD_MS = 1000;

/** Limit on the framing of a chunked body: a fixed part, and a part per byte of data. A chunk of one byte has five bytes of framing. */
export const MAX_FRAMING_BYTES = 64 * 1024;
export const FRAMING_BYTES_PER_BODY_BYTE = 8;

/** Size of a chunk's end and the next chunk's size line, which may arrive long before the data of the next chunk. */
export const MAX_CHUNK_LINE_BYTES = 32;
