//! The part of a tenant's quota that a request takes.

use std::rc::Rc;

use ebonypass_core::allotment::tenant_hash;
use ebonypass_core::tenant::TenantId;
use ebonypass_core::time::{Instant, Span};

use crate::allotment::Allotments;
use crate::gateway::Gateway;

/// The token of one request. It is given back if the request does not run: a tenant whose requests
/// are refused for want of room would otherwise use up its quota with them.
pub(crate) struct Token {
    gateway: Rc<Gateway>,
    /// Hash of the tenant's name; none without a limit.
    tenant: Option<u32>,
    is_held: bool,
    /// Whether the request may run or have run.
    is_used: bool,
}

impl Token {
    /// Takes a token from the quota of `tenant`, and waits until `deadline` for it at most.
    ///
    /// Errors: the quota is used up; the caller should retry after this time.
    pub(super) async fn take(
        gateway: &Rc<Gateway>,
        tenant: Option<TenantId>,
        deadline: Instant,
    ) -> Result<Token, Span> {
        let hash = {
            let state = gateway.state();
            let table = state.tenants.as_ref();
            let tenant = tenant.and_then(|tenant| table.and_then(|table| table.get(tenant)));
            tenant.filter(|tenant| tenant.limit.is_some()).map(|tenant| tenant_hash(&tenant.name))
        };
        let mut token =
            Token { gateway: gateway.clone(), tenant: hash, is_held: false, is_used: false };
        token.take_again(deadline).await?;
        Ok(token)
    }

    /// Takes a token if none is held.
    ///
    /// Errors: as for [`Token::take`].
    pub(super) async fn take_again(&mut self, deadline: Instant) -> Result<(), Span> {
        if let Some(tenant) = self.tenant.filter(|_| !self.is_held) {
            Allotments::admit(&self.gateway, tenant, deadline).await?;
            self.is_held = true;
        }
        Ok(())
    }

    /// Gives the token back while the request waits. It would otherwise run long after it was
    /// counted, together with requests that are counted then.
    pub(super) fn give_back(&mut self) {
        if self.is_used || !std::mem::take(&mut self.is_held) {
            return;
        }
        if let Some(tenant) = self.tenant {
            self.gateway.allotments.give_back(tenant);
        }
    }

    /// Records that the request is sent. Dropped from now on, the token stays used.
    pub(super) fn start_attempt(&mut self) -> bool {
        std::mem::replace(&mut self.is_used, true)
    }

    /// Records that an attempt ended without running the request, and what
    /// [`Token::start_attempt`] returned for it.
    pub(super) fn undo_attempt(&mut self, was_used: bool) {
        self.is_used = was_used;
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        self.give_back();
    }
}
