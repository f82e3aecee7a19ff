//! Actions of other clients on the key-value store and on licence servers.

use super::super::script::number;
use super::Action;
use crate::simulation::Simulation;

/// Returns false if the verb concerns neither.
pub(super) fn act(simulation: &mut Simulation, action: &Action) -> Result<bool, String> {
    match action.verb()? {
        // Another client changes a record; from then on the accounting is compared with the other
        // records only at the end.
        "meddle" => {
            let key = action.arg(1)?;
            simulation.accounting_check.modified_externally |= key.starts_with("b/");
            let value = action.plain.get(2).map(|text| serde_json::from_str(text));
            let value = value.transpose().map_err(|error| error.to_string())?;
            simulation.state.modify_externally(key, value);
        }
        "forget-changes" => {
            simulation.accounting_check.modified_externally = true;
            simulation.state.compact_history();
        }
        // A value as another version of the software would have stored it.
        "store" => {
            let text = action.text.splitn(3, ' ').nth(2).ok_or("no value")?;
            let value = serde_json::from_str(text).map_err(|error| error.to_string())?;
            simulation.state.put_externally(action.arg(1)?, value);
        }
        // Pages hold no more than this many items, as with large values.
        "page-items" => simulation.state.page_items = Some(number(action.arg(1)?)? as usize),
        // External users hold this many units.
        "others" => {
            let seats = number(action.arg(2)?)? as u32;
            simulation.licences.set_external_units(action.arg(1)?, seats);
        }
        _ => return Ok(false),
    }
    Ok(true)
}
