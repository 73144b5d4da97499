"""Time for which knowledge of the promotion states lets an instance acknowledge."""

# Covers two reads of the store, one each second, and the delay of a lost datagram. A
# promotion waits for this time if an instance does not confirm an announcement.
PERMIT_S = 2.5
