"""Record of all instances' shares."""

from jackdawspread.decisions.shares.share_holder import ShareHolder

ShareBook = dict[str, ShareHolder]
