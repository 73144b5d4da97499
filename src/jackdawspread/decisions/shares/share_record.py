"""Record of all instances' shares."""

from jackdawspread.decisions.shares.share_holder import ShareHolder

ShareRecord = dict[str, ShareHolder]
