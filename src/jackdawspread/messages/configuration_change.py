"""Changes to the configuration that operators can request."""

from jackdawspread.messages.add_key import AddKey
from jackdawspread.messages.create_workspace import CreateWorkspace
from jackdawspread.messages.define_preset import DefinePreset
from jackdawspread.messages.select_preset import SelectPreset
from jackdawspread.messages.set_head_office import SetHeadOffice
from jackdawspread.messages.set_leaving import SetLeaving
from jackdawspread.messages.set_limits import SetLimits
from jackdawspread.messages.withdraw_key import WithdrawKey

ConfigurationChange = (
    CreateWorkspace
    | SetLimits
    | SetHeadOffice
    | AddKey
    | WithdrawKey
    | DefinePreset
    | SelectPreset
    | SetLeaving
)
