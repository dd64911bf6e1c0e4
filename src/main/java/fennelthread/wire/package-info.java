/**
 * The messages of the protocol and their codecs. The package depends on no other, so that clients
 * can use it too. The protocol's field names (such as {@code turno}, {@code folio}, {@code ficha})
 * are mapped to plain names where a record reads and writes them. {@link fennelthread.wire.Fields}
 * is the untyped form in between; code beyond the reading and writing of messages should use the
 * records.
 */
package fennelthread.wire;
