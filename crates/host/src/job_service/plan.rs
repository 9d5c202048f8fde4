//! Resolution of a submitted job against the fleet document.

use crate::admission::ResolvedRoute;
use chicoryladder_jobs::{ItemDraft, ItemRequest};
use chicoryladder_settings::ClassTarget;
use chicoryladder_state::FleetView;
use chicoryladder_types::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// A submitted job with the class and rules that the fleet document gives it.
pub(super) struct JobPlan {
    pub(super) class: ClassName,
    pub(super) finish_within: Duration,
    pub(super) items: Vec<ItemDraft>,
}

impl JobPlan {
    pub(super) fn new(
        view: &Arc<FleetView>,
        items: Vec<ItemRequest>,
        class: Option<&ClassName>,
    ) -> Result<Self, RequestRefusal> {
        let class = match class {
            Some(class) => class.clone(),
            None => default_class(view)?,
        };
        let known = view.document.classes.get(&class).map(|known| known.target);
        let Some(ClassTarget::Batch(target)) = known else {
            let detail = format!("the fleet document has no batch class {class}");
            return Err(RequestRefusal::not_run(
                RefusalReason::ClassForbidden,
                detail,
            ));
        };
        let items = items
            .into_iter()
            .map(|item| draft(view, item, &class))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            class,
            finish_within: target.finish_within,
            items,
        })
    }
}

fn draft(
    view: &Arc<FleetView>,
    item: ItemRequest,
    class: &ClassName,
) -> Result<ItemDraft, RequestRefusal> {
    let rules = ResolvedRoute::resolve(view, &item.method, &item.url, Some(class));
    let rules = rules.map_err(|mut refusal| {
        refusal.detail = format!("item {}: {}", item.custom_id, refusal.detail);
        refusal
    })?;
    Ok(ItemDraft {
        idempotent: rules.route.idempotent,
        request: item,
    })
}

/// The first batch class of the fleet document.
fn default_class(view: &Arc<FleetView>) -> Result<ClassName, RequestRefusal> {
    let classes = view.document.classes.iter();
    let mut batch = classes.filter(|(_, class)| !class.target.is_online());
    batch.next().map(|(name, _)| name.clone()).ok_or_else(|| {
        let detail = "the fleet document has no batch class";
        RequestRefusal::not_run(RefusalReason::ClassForbidden, detail)
    })
}
