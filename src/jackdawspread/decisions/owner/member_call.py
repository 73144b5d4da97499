"""Calls to members."""

from jackdawspread.decisions.owner.confirm_call import ConfirmCall
from jackdawspread.decisions.owner.control_call import ControlCall
from jackdawspread.decisions.owner.pool_call import PoolCall
from jackdawspread.decisions.owner.statement_call import StatementCall

MemberCall = StatementCall | ConfirmCall | PoolCall | ControlCall
