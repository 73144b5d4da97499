"""Calls to members."""

from jackdawspread.decisions.confirm_call import ConfirmCall
from jackdawspread.decisions.control_call import ControlCall
from jackdawspread.decisions.pool_call import PoolCall
from jackdawspread.decisions.statement_call import StatementCall

MemberCall = StatementCall | ConfirmCall | PoolCall | ControlCall
