"""Calls to members."""

from jackdawspread.decisions.owner.confirm_call import ConfirmCall
from jackdawspread.decisions.owner.member_control_call import MemberControlCall
from jackdawspread.decisions.owner.pool_maintenance_call import PoolMaintenanceCall
from jackdawspread.decisions.owner.statement_call import StatementCall

MemberCall = StatementCall | ConfirmCall | PoolMaintenanceCall | MemberControlCall
