"""Record of the shares of all instances, by instance name."""

from jackdawspread.decisions.shares.share_holder import ShareHolder

ShareRecord = dict[str, ShareHolder]
