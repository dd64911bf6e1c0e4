/**
 * The messages of the protocol and their codecs; clients can use the package too. It knows nothing
 * of the rest. The protocol's own words (such as {@code turno}, {@code folio}, {@code ficha})
 * appear here alone: each is mapped once, where a record reads and writes its fields. {@link
 * fennelthread.wire.Fields} is the untyped form in between and should not leave a codec.
 */
package fennelthread.wire;
